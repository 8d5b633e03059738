package org.chicorylane.internal.pool;

import java.time.Duration;
import java.util.Collection;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Estimate of the load that other instances put on a server, from the server's reports. The
 * instance's own load is known at any time and is not estimated.
 *
 * <p>A report tells less about the server the older it is. With its age, the estimate moves from
 * the reported load to the mean of the group's servers, so that an old report makes a server look
 * neither idle nor full.
 *
 * <pre>{@code
 * server.load.onReport(busySlots, server.ownLoad(), now);
 * double others = server.load.foreign(ServerLoad.meanOf(servers), now);
 * }</pre>
 *
 * <p>Not thread-safe.
 */
final class ServerLoad {

  /** Age in nanoseconds at which a report's difference from the mean counts for 1/e. */
  private static final double DECAY_NANOS = Duration.ofMillis(500).toNanos();

  /** Weight of the newest report in the moving average. */
  private static final double NEWEST_WEIGHT = 0.5;

  /** Slots that the answer to a status request occupies itself. */
  private static final int STATUS_SLOTS = 1;

  /** Share of the slots assumed to be in use by others while no server has reported its load. */
  private static final double UNKNOWN_SHARE = 0.5;

  private boolean known;

  /** Moving average of the reports. */
  private double reported;

  private long reportedNanos;

  /**
   * Records a report.
   *
   * @param busySlots the number of slots in use, including those of this instance
   * @param own the highest number of this instance's statements and handshakes at the server while
   *     the report was made
   * @param nowNanos the time at which the report arrived
   */
  void onReport(int busySlots, int own, long nowNanos) {
    double others = Math.max(0, busySlots - own - STATUS_SLOTS);
    reported = known ? reported + NEWEST_WEIGHT * (others - reported) : others;
    known = true;
    reportedNanos = nowNanos;
  }

  /** Forgets the reports, after the server was replaced or restarted. */
  void clear() {
    known = false;
  }

  /** Returns the age of the last report in milliseconds; null if there is none. */
  @Nullable Long ageMillis(long nowNanos) {
    return known ? (nowNanos - reportedNanos) / 1_000_000 : null;
  }

  /**
   * Returns the estimated number of slots that other instances occupy.
   *
   * @param mean the mean of the group's servers
   */
  double foreign(double mean, long nowNanos) {
    if (!known) {
      return mean;
    }
    return mean + (reported - mean) * Math.exp((reportedNanos - nowNanos) / DECAY_NANOS);
  }

  /**
   * Returns a number of slots that other instances may occupy, drawn around the estimate. Instances
   * with the same reports thereby choose different servers.
   */
  double drawForeign(double mean, long nowNanos, RandomGenerator random) {
    double estimate = foreign(mean, nowNanos);
    return estimate == 0 ? 0 : Math.max(0, estimate + Math.sqrt(estimate) * random.nextGaussian());
  }

  /**
   * Returns the mean number of slots that other instances occupy at a server, over the servers with
   * a report; an assumed share of the slots if there is none.
   */
  static double meanOf(Collection<PoolServer> servers) {
    double sum = 0;
    double slots = 0;
    int reports = 0;
    for (PoolServer s : servers) {
      slots += s.slots();
      if (s.load.known) {
        sum += s.load.reported;
        reports++;
      }
    }
    if (reports > 0) {
      return sum / reports;
    }
    return servers.isEmpty() ? 0 : UNKNOWN_SHARE * slots / servers.size();
  }
}
