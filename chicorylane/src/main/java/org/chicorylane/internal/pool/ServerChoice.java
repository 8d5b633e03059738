package org.chicorylane.internal.pool;

import java.util.Collection;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.chicorylane.internal.position.LogPosition;
import org.jspecify.annotations.Nullable;

/**
 * Selects the server that runs a statement. Prefers the replica with the shortest expected time to
 * answer and the most room among those that hold what the read must see. Selects the primary if no
 * replica may serve the statement, or if all replicas that may are full and the primary would still
 * have a slot free for writes. Replicas that {@link OutlierDetector} has ejected run only probes,
 * unless no other server can. Stateless.
 */
final class ServerChoice {

  /** Statements sent to a server beyond its slots, so that no slot idles during a round trip. */
  private static final int PIPELINED_STATEMENTS = 1;

  /** Costs that differ by less than this share are equal. */
  private static final double EQUAL_COST = 0.02;

  /** A replica is expected to hold positions older than this many times its last known lag. */
  private static final long LAG_FACTOR = 2;

  /** Margin in milliseconds that is added to the lag, because the log arrives unevenly. */
  private static final long LAG_SLACK_MILLIS = 10;

  private ServerChoice() {}

  /**
   * Returns the server that should run the work now; null if the work has to wait.
   *
   * @param floor the position that a replica must hold; null if only the primary may run the work
   * @param hasConnection returns whether a replica that could run the work has an idle connection
   *     for it; the predicate may remember those that have none
   * @param random selects one of several servers that cost the same, so that instances with the
   *     same knowledge do not all select the same one
   * @param waiting the amount of work that waits, this included. If nothing else does, a read waits
   *     here for the first slot of any replica instead of at one replica.
   */
  static @Nullable PoolServer choose(
      Collection<PoolServer> servers,
      QueuedWork item,
      @Nullable LogPosition floor,
      PrimaryHalt halt,
      FloorTracker floors,
      long now,
      Predicate<PoolServer> hasConnection,
      RandomGenerator random,
      int waiting) {
    PoolServer best = null;
    double bestCost = 0;
    int equals = 0;
    PoolServer ejected = null;
    double mean = ServerLoad.meanOf(servers);
    PoolServer primary = primaryOf(servers);
    if (floor != null) {
      boolean anyEligible = false;
      for (PoolServer s : servers) {
        if (s.primary || !s.acceptsNewWork() || s.backend.id().equals(item.excludedReplicaId)) {
          continue;
        }
        if (!isFresh(s, floor, floors, now)) {
          continue;
        }
        if (s.ejection.isActive()) {
          if (s.ejection.allowsProbe(item, s, now) && hasConnection.test(s)) {
            return s;
          }
          ejected = s.inFlight < maxInFlight(s) ? s : ejected;
          continue;
        }
        anyEligible = true;
        if (s.inFlight >= maxInFlight(s) || !hasConnection.test(s)) {
          continue;
        }
        double cost = s.cost(s.load.drawForeign(mean, now, random));
        if (best == null || cost < bestCost * (1 - EQUAL_COST)) {
          best = s;
          bestCost = cost;
          equals = 1;
        } else if (cost <= bestCost * (1 + EQUAL_COST) && random.nextInt(++equals) == 0) {
          best = s;
        }
      }
      if (best != null && best.inFlight >= best.slots()) {
        if (primary != null && mayRun(primary, item, halt) && isHalfFree(primary, mean, now)) {
          return primary;
        }
        return waiting > 1 ? best : null;
      }
      if (best != null) {
        return best;
      }
      if (anyEligible && (primary == null || !hasRoomForRead(primary, mean, now))) {
        return null;
      }
      boolean primaryHasRoom =
          primary != null && mayRun(primary, item, halt) && hasRoomForRead(primary, mean, now);
      if (!anyEligible && ejected != null && !primaryHasRoom && hasConnection.test(ejected)) {
        return ejected;
      }
    }
    if (primary == null
        || !mayRun(primary, item, halt)
        || primary.inFlight >= maxInFlight(primary)) {
      return null;
    }
    return primary;
  }

  private static boolean mayRun(PoolServer primary, QueuedWork item, PrimaryHalt halt) {
    return halt.allows(item.work) && primary.acceptsNewWork();
  }

  /** Returns whether the primary has half of its slots free after it has taken a read. */
  private static boolean isHalfFree(PoolServer primary, double mean, long now) {
    return 2 * (primary.ownLoad() + primary.load.foreign(mean, now) + 1) <= primary.slots();
  }

  /** Returns whether the primary would still have a slot free for writes. */
  private static boolean hasRoomForRead(PoolServer primary, double mean, long now) {
    return primary.inFlight + primary.load.foreign(mean, now) < primary.slots() - 1;
  }

  private static @Nullable PoolServer primaryOf(Collection<PoolServer> servers) {
    for (PoolServer s : servers) {
      if (s.primary) {
        return s;
      }
    }
    return null;
  }

  /** Returns whether a replica holds {@code floor}, or can be expected to, given its last lag. */
  static boolean isFresh(PoolServer s, LogPosition floor, FloorTracker floors, long now) {
    if (s.position.compareTo(floor) >= 0) {
      return true;
    }
    if (s.position.term() != floor.term()) {
      return false;
    }
    long age = floors.ageMillis(floor, now);
    return age > s.lagMillis * LAG_FACTOR + LAG_SLACK_MILLIS;
  }

  /** Returns the maximum number of statements in flight at a server. */
  static int maxInFlight(PoolServer s) {
    return s.slots() + PIPELINED_STATEMENTS;
  }
}
