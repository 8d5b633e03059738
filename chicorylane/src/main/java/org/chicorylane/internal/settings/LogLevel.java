package org.chicorylane.internal.settings;

/** The lowest level of entries that are logged. */
public enum LogLevel {
  /** All entries, including individual steps. */
  TRACE,
  /** Details for diagnosing faults. */
  DEBUG,
  /** Events of normal operation. */
  INFO,
  /** Events that may need attention. */
  WARN,
  /** Failures. */
  ERROR
}
