package org.chicorylane.internal.settings;

/**
 * The log settings of an instance.
 *
 * @param format the output format of entries
 * @param level the lowest level of entries that are written
 */
public record LogSettings(LogFormat format, LogLevel level) {

  /** Returns the log settings that apply if the settings contain none. */
  public static LogSettings defaults() {
    return new LogSettings(LogFormat.TEXT, LogLevel.INFO);
  }
}
