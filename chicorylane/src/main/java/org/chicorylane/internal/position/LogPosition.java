package org.chicorylane.internal.position;

import org.jspecify.annotations.Nullable;

/**
 * A place in the log of a database group: the term in which it was written and the byte offset
 * within the log (PostgreSQL's LSN).
 *
 * <p>Positions order by term first, then offset. Comparing positions of different terms says which
 * is newer, not that one contains the other; {@link TermHistory} answers that.
 *
 * <p>Immutable and thread-safe.
 *
 * @param term the term, at least 0; 0 stands for "before any term"
 * @param offset the byte offset in the log, at least 0
 */
public record LogPosition(long term, long offset) implements Comparable<LogPosition> {

  /** The position before any write. */
  public static final LogPosition ZERO = new LogPosition(0, 0);

  /**
   * Checks the parts.
   *
   * @throws IllegalArgumentException if a part is negative
   */
  public LogPosition {
    if (term < 0 || offset < 0) {
      throw new IllegalArgumentException("negative log position " + term + "/" + offset);
    }
  }

  @Override
  public int compareTo(LogPosition other) {
    int byTerm = Long.compare(term, other.term);
    return byTerm != 0 ? byTerm : Long.compare(offset, other.offset);
  }

  /** Returns the later of the two positions. */
  public LogPosition max(LogPosition other) {
    return compareTo(other) >= 0 ? this : other;
  }

  // Written out so that a starting process links no method handles for it.
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
