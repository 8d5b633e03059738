package org.chicorylane.internal.pool;

import java.util.Comparator;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * The small share of the servers' slots that priorities get while more urgent ones could take them
 * all, so that none is starved. A priority whose statements wait gains credit with each statement
 * that overtakes them, and spends it with each of its own that is sent.
 *
 * <p>Confined to the instance's thread.
 */
final class ReservedSlots {

  /** Share of the servers' slots that is reserved, divided among the priorities that wait. */
  static final double SHARE = 0.05;

  /** Credit of the priorities, by their lowest rank, in nanoseconds of slot time. */
  private final TreeMap<Long, Credit> credits = new TreeMap<>();

  private static final class Credit {
    private double nanos;
    private int waiting;
    private double lastServiceNanos;
  }

  /** Records that a statement waits. */
  void onAdded(QueuedWork item) {
    if (isCounted(item)) {
      Credit credit = credits.computeIfAbsent(item.priorityRank(), rank -> new Credit());
      credit.waiting++;
      credit.lastServiceNanos = item.serviceNanos;
    }
  }

  /**
   * Records that a statement waits no more; a priority without waiting statements has no credit.
   */
  void onRemoved(QueuedWork item) {
    if (isCounted(item)) {
      Credit credit = credits.get(item.priorityRank());
      if (credit != null && --credit.waiting == 0) {
        credits.remove(item.priorityRank());
      }
    }
  }

  /** Records that a statement is sent to a server. */
  void onDispatched(QueuedWork item) {
    Credit own = credits.get(item.priorityRank());
    if (own != null) {
      own.nanos = Math.max(0, own.nanos - item.serviceNanos);
    }
    Map<Long, Credit> overtaken = credits.tailMap(item.priorityRank(), false);
    for (Credit credit : overtaken.values()) {
      credit.nanos =
          Math.min(
              credit.lastServiceNanos, credit.nanos + SHARE * item.serviceNanos / overtaken.size());
    }
  }

  /** Returns the lowest rank of the priority that is to be served next, null if there is none. */
  @Nullable Long dueRank() {
    return credits.entrySet().stream()
        .filter(e -> e.getValue().nanos >= e.getValue().lastServiceNanos)
        .max(Comparator.comparingDouble(e -> e.getValue().nanos))
        .map(Map.Entry::getKey)
        .orElse(null);
  }

  /** Returns the share of the slots that the statement's priority gets at least. */
  double shareOf(QueuedWork item) {
    return isCounted(item) ? SHARE / Math.max(1, credits.size()) : SHARE;
  }

  /** Returns whether work has a claim to be served that more urgent work may leave unmet. */
  private static boolean isCounted(QueuedWork item) {
    return !item.late && item.excess == 0 && !item.continuesTransaction();
  }
}
