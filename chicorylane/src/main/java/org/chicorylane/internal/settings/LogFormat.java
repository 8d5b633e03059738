package org.chicorylane.internal.settings;

/** The output format of log entries. */
public enum LogFormat {
  /** One line of text for each entry. */
  TEXT,
  /** One JSON object on a line for each entry. */
  JSON
}
