package org.chicorylane.internal.failover;

import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/** How far each server was seen to hold the log of one term. Not thread-safe. */
final class ReplicatedOffsets {
  private final Map<String, Long> offsets = new HashMap<>();
  private long term;

  /** Returns the term. */
  long term() {
    return term;
  }

  /** Begins another term; offsets of the old one no longer count. */
  void beginTerm(long newTerm) {
    if (newTerm != term) {
      term = newTerm;
      offsets.clear();
    }
  }

  /** Notes that the server holds the log up to {@code offset}; ignored for another term. */
  void advance(String server, long offsetTerm, long offset) {
    if (offsetTerm == term) {
      offsets.merge(server, offset, Math::max);
    }
  }

  /** Returns up to where a majority of {@code voters} holds the log; -1 if none does. */
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
