package org.chicorylane.standin.database;

import java.util.Locale;

/**
 * Positions in a server's log in PostgreSQL's text form.
 *
 * <pre>{@code
 * Lsn.format(0x1_0000_00A0L); // "1/A0"
 * Lsn.parse("1/A0"); // 0x1_0000_00A0L
 * }</pre>
 *
 * <p>Stateless and thread-safe.
 */
public final class Lsn {

  private Lsn() {}

  /** Returns the text form of a byte offset. */
  public static String format(long offset) {
    return String.format(Locale.ROOT, "%X/%X", offset >>> 32, offset & 0xFFFF_FFFFL);
  }

  /**
   * Returns the byte offset of a text form.
   *
   * @throws IllegalArgumentException if {@code text} is no position
   */
  public static long parse(String text) {
    int slash = text.indexOf('/');
    if (slash < 1) {
      throw new IllegalArgumentException("invalid input syntax for type pg_lsn: \"" + text + "\"");
    }
    long high = Long.parseLong(text, 0, slash, 16);
    return high << 32 | Long.parseLong(text, slash + 1, text.length(), 16);
  }
}
