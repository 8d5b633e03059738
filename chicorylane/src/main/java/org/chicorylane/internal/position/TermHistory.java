package org.chicorylane.internal.position;

import java.util.ArrayList;
import java.util.List;

/**
 * The terms of a database group and the log offset at which each began, oldest first. It tells
 * whether a position is part of the current log or belongs to a tail that a change of primary cut.
 *
 * <pre>{@code
 * TermHistory history = TermHistory.first(1).next(2, 5_000);
 * history.contains(new LogPosition(1, 4_000)); // true: before term 2 began
 * history.contains(new LogPosition(1, 6_000)); // false: term 2 cut this tail off
 * }</pre>
 *
 * <p>Immutable and thread-safe.
 */
public final class TermHistory {

  /**
   * A term and the offset at which it began.
   *
   * @param term the number of the term
   * @param startOffset the first byte offset that belongs to the term
   */
  public record Entry(long term, long startOffset) {}

  private final List<Entry> entries;

  private TermHistory(List<Entry> entries) {
    this.entries = List.copyOf(entries);
  }

  /** Returns a history of one term that began at offset 0. */
  public static TermHistory first(long term) {
    return new TermHistory(List.of(new Entry(term, 0)));
  }

  /**
   * Returns a history of the given entries, oldest first.
   *
   * @throws IllegalArgumentException if there are no entries or the terms do not increase
   */
  public static TermHistory of(List<Entry> entries) {
    if (entries.isEmpty()) {
      throw new IllegalArgumentException("a term history needs at least one term");
    }
    for (int i = 1; i < entries.size(); i++) {
      if (entries.get(i).term() <= entries.get(i - 1).term()) {
        throw new IllegalArgumentException("terms do not increase: " + entries);
      }
    }
    return new TermHistory(entries);
  }

  /**
   * Returns this history followed by {@code term}, which begins at {@code startOffset}.
   *
   * @throws IllegalArgumentException if {@code term} is not newer than the current one
   */
  public TermHistory next(long term, long startOffset) {
    List<Entry> longer = new ArrayList<>(entries);
    longer.add(new Entry(term, startOffset));
    return of(longer);
  }

  /** Returns the entries, oldest first. */
  public List<Entry> entries() {
    return entries;
  }

  /** Returns the newest term. */
  public long currentTerm() {
    return entries.get(entries.size() - 1).term();
  }

  /**
   * Returns whether the log up to {@code position} is part of the current log.
   *
   * @return false if a later term began before the position, or if the position's term is newer
   *     than the current one
   */
  public boolean contains(LogPosition position) {
    if (position.term() > currentTerm()) {
      return false;
    }
    for (Entry e : entries) {
      if (e.term() > position.term() && e.startOffset() < position.offset()) {
        return false;
      }
    }
    return true;
  }

  @Override
  public String toString() {
    return entries.toString();
  }
}
