package org.chicorylane.internal.settings;

/**
 * How an instance logs.
 *
 * @param format how entries are written
 * @param level the least severe entries that are written
 */
public record LogSettings(LogFormat format, LogLevel level) {

  /** Returns what holds for an instance whose settings say nothing of it. */
  public static LogSettings defaults() {
    return new LogSettings(LogFormat.TEXT, LogLevel.INFO);
  }
}
