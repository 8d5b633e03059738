package org.chicorylane.standin.platform;

/**
 * The keys that a request selects: one key, or a half-open range of keys.
 *
 * @param key the single key, or the first key of the range
 * @param end the exclusive upper bound of the range; empty for a single key, {@code "\0"} for no
 *     upper bound
 */
public record KeyRange(String key, String end) {

  private static final String UNBOUNDED = "\0";

  /** Returns the range of all keys that begin with {@code prefix}, which must not be empty. */
  public static KeyRange prefix(String prefix) {
    int last = prefix.length() - 1;
    char next = (char) (prefix.charAt(last) + 1);
    return new KeyRange(prefix, prefix.substring(0, last) + next);
  }

  /** Returns the range of {@code key} alone. */
  public static KeyRange single(String key) {
    return new KeyRange(key, "");
  }

  /** Returns whether the range includes {@code candidate}. */
  boolean contains(String candidate) {
    if (end.isEmpty()) {
      return candidate.equals(key);
    }
    return candidate.compareTo(key) >= 0 && (end.equals(UNBOUNDED) || candidate.compareTo(end) < 0);
  }
}
