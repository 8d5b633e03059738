package org.chicorylane.internal.position;

import org.jspecify.annotations.Nullable;

/**
 * A position in the write-ahead log of a database group: the term in which the entry was written
 * and the byte offset in the log (PostgreSQL's LSN).
 *
 * <p>Positions are ordered by term, then by offset. Of two positions of different terms, the
 * greater one is newer, but its log need not contain the other; {@link TermHistory#contains} checks
 * that.
 *
 * <p>Immutable and thread-safe.
 *
 * @param term the term, at least 0, where 0 means before any term
 * @param offset the byte offset in the log, at least 0
 */
public record LogPosition(long term, long offset) implements Comparable<LogPosition> {

  /** The position before any write. */
  public static final LogPosition ZERO = new LogPosition(0, 0);

  /**
   * Checks that neither component is negative.
   *
   * @throws IllegalArgumentException if one is negative
   */
  public LogPosition {
    if (term < 0 || offset < 0) {
      throw new IllegalArgumentException(
          "log position has a negative part: " + term + "/" + offset);
    }
  }

  @Override
  public int compareTo(LogPosition other) {
    int byTerm = Long.compare(term, other.term);
    return byTerm != 0 ? byTerm : Long.compare(offset, other.offset);
  }

  /** Returns the greater of the two positions. */
  public LogPosition max(LogPosition other) {
    return compareTo(other) >= 0 ? this : other;
  }

  /** Returns the position of the next commit in the same term, which is the least greater one. */
  public LogPosition next() {
    return new LogPosition(term, offset + 1);
  }

  // Overridden so that a starting process need not link method handles for the generated methods.
  @Override
  public boolean equals(@Nullable Object other) {
    return other instanceof LogPosition p && term == p.term && offset == p.offset;
  }

  @Override
  public int hashCode() {
    return Long.hashCode(31 * term + offset);
  }

  @Override
  public String toString() {
    return term + "/" + offset;
  }
}
