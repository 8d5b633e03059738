package org.chicorylane.internal.backend;

/** Parser for PostgreSQL's text form of a log sequence number, such as {@code 16/B374D848}. */
public final class LogSequenceNumber {
  private static final int LOW_HALF_BITS = 32;
  private static final int HEX_RADIX = 16;

  private LogSequenceNumber() {}

  /**
   * Returns the byte offset in the log.
   *
   * @throws IllegalArgumentException if {@code text} is not a log sequence number
   */
  public static long parse(String text) {
    int slash = text.indexOf('/');
    if (slash < 1) {
      throw new IllegalArgumentException("\"" + text + "\" is not a log sequence number");
    }
    long high = Long.parseLong(text.substring(0, slash), HEX_RADIX);
    long low = Long.parseLong(text.substring(slash + 1), HEX_RADIX);
    return (high << LOW_HALF_BITS) | low;
  }
}
