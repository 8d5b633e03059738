package org.chicorylane.internal.settings;

/** How log entries are written. */
public enum LogFormat {
  /** A line of text each. */
  TEXT,
  /** A JSON object on a line each. */
  JSON
}
