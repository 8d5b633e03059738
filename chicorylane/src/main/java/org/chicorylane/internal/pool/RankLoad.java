package org.chicorylane.internal.pool;

import java.util.Map;
import java.util.TreeMap;

/**
 * Moving average of the slots that dispatched statements occupy, by rank. Statements that arrive
 * later but rank better overtake a waiting one, so the slots that they occupy are not available to
 * it. Those of accounts within their share overtake those of accounts above theirs.
 *
 * <p>Not thread-safe.
 */
final class RankLoad {

  /** Time constant of the averages, in average service times. */
  private static final double WINDOW_SERVICE_TIMES = 16;

  /** Weight of the newest dispatch in the average service time. */
  private static final double NEWEST_WEIGHT = 0.05;

  private final TreeMap<Long, Load> loads = new TreeMap<>();
  private double serviceNanos = ServiceTimes.INITIAL_NANOS;

  /** Records that a statement is sent to a server. */
  void onDispatched(QueuedWork item, long nowNanos) {
    serviceNanos += NEWEST_WEIGHT * (item.serviceNanos - serviceNanos);
    Load load = loads.computeIfAbsent(item.loadRank(), rank -> new Load(nowNanos));
    load.decay(nowNanos, windowNanos());
    if (item.work.canRunOnReplica()) {
      load.forReplicas += item.serviceNanos;
    } else {
      load.forPrimary += item.serviceNanos;
    }
  }

  /**
   * Returns the average number of slots that statements with a better rank than {@code item}
   * occupy.
   *
   * @param sharedServer whether work for replicas and work for the primary run on the same server
   */
  double slotsAheadOf(QueuedWork item, long nowNanos, boolean sharedServer) {
    double nanos = 0;
    for (Map.Entry<Long, Load> entry : loads.headMap(item.loadRank(), false).entrySet()) {
      Load load = entry.getValue();
      load.decay(nowNanos, windowNanos());
      nanos += load.nanosFor(item, sharedServer);
    }
    return nanos / windowNanos();
  }

  private double windowNanos() {
    return WINDOW_SERVICE_TIMES * serviceNanos;
  }

  /** Service time dispatched within about the last window, by the servers that may run the work. */
  private static final class Load {
    private double forReplicas;
    private double forPrimary;
    private long decayedNanos;

    Load(long nowNanos) {
      decayedNanos = nowNanos;
    }

    void decay(long nowNanos, double windowNanos) {
      double factor = Math.exp((decayedNanos - nowNanos) / windowNanos);
      forReplicas *= factor;
      forPrimary *= factor;
      decayedNanos = nowNanos;
    }

    double nanosFor(QueuedWork item, boolean sharedServer) {
      if (sharedServer) {
        return forReplicas + forPrimary;
      }
      return item.work.canRunOnReplica() ? forReplicas : forPrimary;
    }
  }
}
