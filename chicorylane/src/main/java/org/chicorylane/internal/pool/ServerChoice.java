package org.chicorylane.internal.pool;

import java.util.Collection;
import java.util.function.Predicate;
import org.chicorylane.internal.position.LogPosition;
import org.jspecify.annotations.Nullable;

/**
 * Decides which server runs a statement: the replica with the least expected time that holds what
 * the read must see, the primary where no replica may serve or those that may are full and it has
 * room besides its writes. Stateless.
 */
final class ServerChoice {

  /** Statements sent to a server beyond its slots, so that a slot never waits for the network. */
  private static final int SENT_AHEAD = 1;

  /** A replica is expected to hold a position that is so many times older than its last lag. */
  private static final long LAG_FACTOR = 2;

  /** Age that is added to the lag, for what arrives unevenly. */
  private static final long LAG_SLACK_MILLIS = 10;

  private ServerChoice() {}

  /**
   * Returns the server that should run the work now; null if it has to wait.
   *
   * @param floor what a replica must hold, null if only the primary may serve
   */
  static @Nullable PoolServer choose(
      Collection<PoolServer> servers,
      Waiting w,
      @Nullable LogPosition floor,
      PrimaryHalt halt,
      FloorTracker floors,
      long now,
      Predicate<PoolServer> hasConnection) {
    PoolServer best = null;
    PoolServer primary = primaryOf(servers);
    if (floor != null) {
      boolean anyEligible = false;
      for (PoolServer s : servers) {
        if (s.primary || !s.acceptsNewWork() || s.entry.id().equals(w.avoid)) {
          continue;
        }
        if (!isFresh(s, floor, floors, now)) {
          continue;
        }
        anyEligible = true;
        if (s.busy >= limit(s) || !hasConnection.test(s)) {
          continue;
        }
        if (best == null || s.expectedNanos() < best.expectedNanos()) {
          best = s;
        }
      }
      if (best != null) {
        return best;
      }
      if (anyEligible && (primary == null || primary.busy >= primary.entry.slots() - 1)) {
        return null;
      }
    }
    if (primary == null
        || !halt.allows(w.work)
        || !primary.usable()
        || primary.busy >= limit(primary)) {
      return null;
    }
    return primary;
  }

  private static @Nullable PoolServer primaryOf(Collection<PoolServer> servers) {
    for (PoolServer s : servers) {
      if (s.primary) {
        return s;
      }
    }
    return null;
  }

  /** Returns whether a replica holds {@code floor}, or should by now. */
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

  /** Returns how many statements a server is given at a time. */
  static int limit(PoolServer s) {
    return Math.max(1, s.entry.slots()) + SENT_AHEAD;
  }
}
