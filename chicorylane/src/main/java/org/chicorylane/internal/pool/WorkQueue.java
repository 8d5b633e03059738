package org.chicorylane.internal.pool;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

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

  /** Pause between searches for what has become late; small against what clients hope for. */
  private static final long LATE_CHECK_NANOS = Duration.ofMillis(5).toNanos();

  private final TreeSet<Waiting> waiting = new TreeSet<>(Waiting.ORDER);

  /** How many wait, by rank; the ranks are few. */
  private final TreeMap<Long, Count> counts = new TreeMap<>();

  private long lateCheckedNanos = Long.MIN_VALUE / 2;

  /** Share of the last dispatches that could still be in time. */
  private double timelyShare;

  void add(Waiting w) {
    if (waiting.add(w)) {
      counts.computeIfAbsent(w.rank(), r -> new Count()).add(w, 1);
    }
  }

  private void forget(Waiting w) {
    Count count = counts.get(w.rank());
    if (count != null) {
      count.add(w, -1);
    }
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
    Iterator<Waiting> inner = waiting.iterator();
    return new Iterator<>() {
      private @Nullable Waiting last;

      @Override
      public boolean hasNext() {
        return inner.hasNext();
      }

      @Override
      public Waiting next() {
        Waiting next = inner.next();
        last = next;
        return next;
      }

      @Override
      public void remove() {
        inner.remove();
        if (last != null) {
          forget(last);
        }
      }
    };
  }

  /** Removes and returns what {@code condition} holds for, in order. */
  List<Waiting> take(Predicate<Waiting> condition) {
    List<Waiting> taken = new ArrayList<>();
    for (Iterator<Waiting> i = iterator(); i.hasNext(); ) {
      Waiting w = i.next();
      if (condition.test(w)) {
        i.remove();
        taken.add(w);
      }
    }
    return taken;
  }

  /** Removes and returns what has just become late, marked so; it sorts behind the others now. */
  List<Waiting> takeLate(long nowNanos) {
    List<Waiting> late = new ArrayList<>();
    if (waiting.size() < QUEUE_WORTH_ORDERING || nowNanos - lateCheckedNanos < LATE_CHECK_NANOS) {
      return late;
    }
    lateCheckedNanos = nowNanos;
    late.addAll(take(w -> !w.late && w.misses(nowNanos, USUAL_SERVICE_NANOS)));
    late.forEach(w -> w.late = true);
    return late;
  }

  /** Takes note of a statement that is sent to a server. */
  void onDispatched(Waiting w) {
    timelyShare += SHARE_WEIGHT * ((w.late ? 0 : 1) - timelyShare);
  }

  /**
   * Returns the expected time until a server takes the work that arrives now, -1 if none can.
   *
   * @param statementsPerNano what the servers that may run it take
   * @param onePlace whether all kinds of work wait for the same server
   */
  long expectedWaitMillis(Waiting w, double statementsPerNano, boolean onePlace) {
    if (statementsPerNano == 0) {
      return -1;
    }
    int ahead = 0;
    for (Count count : counts.headMap(w.rank(), true).values()) {
      ahead += onePlace ? count.all() : count.of(w);
    }
    double left = w.late ? Math.max(LEAST_LATE_SHARE, 1 - timelyShare) : 1;
    return (long) (ahead / (statementsPerNano * left) / 1e6);
  }

  /** How many of a rank wait, by whether replicas may serve them. */
  private static final class Count {
    private int forReplicas;
    private int forPrimary;

    void add(Waiting w, int change) {
      if (w.work.replicaMayServe()) {
        forReplicas += change;
      } else {
        forPrimary += change;
      }
    }

    int all() {
      return forReplicas + forPrimary;
    }

    int of(Waiting w) {
      return w.work.replicaMayServe() ? forReplicas : forPrimary;
    }
  }
}
