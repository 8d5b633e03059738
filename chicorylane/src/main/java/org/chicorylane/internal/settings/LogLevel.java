package org.chicorylane.internal.settings;

/** The least severe entries that are logged. */
public enum LogLevel {
  /** Everything, also single steps. */
  TRACE,
  /** What helps to find a fault. */
  DEBUG,
  /** What happens in ordinary work. */
  INFO,
  /** What may need attention. */
  WARN,
  /** What failed. */
  ERROR
}
