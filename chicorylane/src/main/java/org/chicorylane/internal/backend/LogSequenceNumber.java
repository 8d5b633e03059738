package org.chicorylane.internal.backend;

/** PostgreSQL's text form of a log sequence number, such as {@code 16/B374D848}. */
public final class LogSequenceNumber {
  private static final int LOW_BITS = 32;
  private static final int HEX = 16;

  private LogSequenceNumber() {}

  /**
   * Returns the byte offset that {@code text} stands for.
   *
   * @throws IllegalArgumentException if {@code text} is no log sequence number
   */
  public static long parse(String text) {
    int slash = text.indexOf('/');
    if (slash < 1) {
      throw new IllegalArgumentException("\"" + text + "\" is no log sequence number");
    }
    long high = Long.parseLong(text.substring(0, slash), HEX);
    long low = Long.parseLong(text.substring(slash + 1), HEX);
    return (high << LOW_BITS) | low;
  }
}
