package org.chicorylane.internal.dissemination;

import java.time.Duration;

/**
 * The times of the dissemination.
 *
 * <p>Immutable and thread-safe.
 *
 * @param pollInterval how often an instance of a small fleet checks the store unasked
 * @param firstRetryDelay the wait after a first failure; doubles with each further one
 * @param maximumRetryDelay the longest wait after a failure
 */
public record RevisionOptions(
    Duration pollInterval, Duration firstRetryDelay, Duration maximumRetryDelay) {

  /** The times for production use. */
  public static final RevisionOptions DEFAULT =
      new RevisionOptions(Duration.ofSeconds(30), Duration.ofMillis(50), Duration.ofSeconds(2));

  private static final int MEMBERS_AT_POLL_INTERVAL = 100;

  /** Returns the poll interval that keeps the rate of all polls bounded in a fleet of that size. */
  Duration pollInterval(int fleetSize) {
    int size = Math.max(fleetSize, MEMBERS_AT_POLL_INTERVAL);
    return pollInterval.multipliedBy(size).dividedBy(MEMBERS_AT_POLL_INTERVAL);
  }

  /** Returns the wait after so many failures in a row, at least one. */
  Duration retryDelay(int failures) {
    int doublings = Math.min(failures - 1, Integer.SIZE - 2);
    Duration delay = firstRetryDelay.multipliedBy(1L << doublings);
    return delay.compareTo(maximumRetryDelay) < 0 ? delay : maximumRetryDelay;
  }
}
