package org.chicorylane.internal.failover;

import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * The highest offset up to which each server was observed to hold the log of one term, from which
 * the quorum offset is computed. Not thread-safe.
 */
final class ReplicatedOffsets {
  private final Map<String, Long> offsets = new HashMap<>();
  private long term;

  /** Returns the term of the offsets; 0 if there is none. */
  long term() {
    return term;
  }

  /**
   * Starts another term and discards the offsets of the previous one. Does nothing if the term is
   * already the current one.
   */
  void beginTerm(long newTerm) {
    if (newTerm != term) {
      term = newTerm;
      offsets.clear();
    }
  }

  /**
   * Records that the server holds the log up to {@code offset}. An offset of another term is
   * ignored, and an offset never decreases.
   */
  void advance(String server, long offsetTerm, long offset) {
    if (offsetTerm == term) {
      offsets.merge(server, offset, Math::max);
    }
  }

  /**
   * Returns the offset up to which a majority of {@code voters} holds the log; -1 if no majority
   * does.
   */
  long confirmedOffset(Collection<String> voters) {
    long[] sorted = voters.stream().mapToLong(v -> offsets.getOrDefault(v, -1L)).sorted().toArray();
    int majority = sorted.length / 2 + 1;
    return sorted.length == 0 ? -1 : sorted[sorted.length - majority];
  }

  @Override
  public String toString() {
    Object[] entries = offsets.entrySet().toArray();
    return "term " + term + " " + Arrays.toString(entries);
  }
}
