package org.chicorylane.internal.pool;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * The statements that wait for a server, in the order in which they should run.
 *
 * <p>Confined to the instance's thread.
 */
final class WorkQueue implements Iterable<Waiting> {

  /** Shorter queues are gone before their order matters. */
  private static final int QUEUE_WORTH_ORDERING = 4;

  /** Weight of the newest dispatch in the share of those that were in time. */
  private static final double SHARE_WEIGHT = 0.02;

  /** Least part of the servers' time that is expected for statements that are late. */
  private static final double LEAST_LATE_SHARE = 0.05;

  /** Time that an ordinary statement takes at a server, with the way there and back. */
  private static final double USUAL_SERVICE_NANOS = 30e6;

  private final TreeSet<Waiting> waiting = new TreeSet<>(Waiting.ORDER);

  /** Share of the last dispatches that could still be in time. */
  private double timelyShare;

  void add(Waiting w) {
    waiting.add(w);
  }

  int size() {
    return waiting.size();
  }

  boolean isEmpty() {
    return waiting.isEmpty();
  }

  /** Returns the statements in order; the iterator may remove. */
  @Override
  public Iterator<Waiting> iterator() {
    return waiting.iterator();
  }

  /** Removes and returns what {@code condition} holds for, in order. */
  List<Waiting> take(Predicate<Waiting> condition) {
    List<Waiting> taken = waiting.stream().filter(condition).toList();
    waiting.removeAll(taken);
    return taken;
  }

  /** Removes and returns what has just become late, marked so; it sorts behind the others now. */
  List<Waiting> takeLate(long nowNanos) {
    List<Waiting> late = new ArrayList<>();
    if (waiting.size() < QUEUE_WORTH_ORDERING) {
      return late;
    }
    late.addAll(take(w -> !w.late && w.misses(nowNanos, USUAL_SERVICE_NANOS)));
    late.forEach(w -> w.late = true);
    return late;
  }

  /** Takes note of a statement that is sent to a server. */
  void onDispatched(Waiting w) {
    timelyShare += SHARE_WEIGHT * ((w.late ? 0 : 1) - timelyShare);
  }

  /**
   * Returns the expected time until a server takes the work, -1 if none can.
   *
   * @param statementsPerNano what the servers that may run it take
   */
  long expectedWaitMillis(Waiting w, double statementsPerNano) {
    if (statementsPerNano == 0) {
      return -1;
    }
    int ahead = 0;
    for (Waiting other : waiting) {
      if (Waiting.ORDER.compare(other, w) < 0
          && other.work.replicaMayServe() == w.work.replicaMayServe()) {
        ahead++;
      }
    }
    double left = w.late ? Math.max(LEAST_LATE_SHARE, 1 - timelyShare) : 1;
    return (long) (ahead / (statementsPerNano * left) / 1e6);
  }
}
