package org.chicorylane.internal.dissemination;

import java.time.Duration;

/**
 * The intervals and delays of the dissemination of declarations.
 *
 * <p>Immutable and thread-safe.
 *
 * @param pollInterval the interval between two checks of the store by an instance of a small fleet
 *     when nothing else prompts one
 * @param firstRetryDelay the delay after a first failure, which doubles with each further failure
 *     in a row
 * @param maximumRetryDelay the maximum delay after a failure
 */
public record RevisionOptions(
    Duration pollInterval, Duration firstRetryDelay, Duration maximumRetryDelay) {

  /** The options for production use. */
  public static final RevisionOptions DEFAULT =
      new RevisionOptions(Duration.ofSeconds(30), Duration.ofMillis(50), Duration.ofSeconds(2));

  private static final int MAXIMUM_FLEET_SIZE_AT_POLL_INTERVAL = 100;

  /**
   * Returns the poll interval in a fleet of the given size. It grows with the fleet, so that the
   * rate at which all instances together poll the store stays bounded.
   */
  Duration pollInterval(int fleetSize) {
    int size = Math.max(fleetSize, MAXIMUM_FLEET_SIZE_AT_POLL_INTERVAL);
    return pollInterval.multipliedBy(size).dividedBy(MAXIMUM_FLEET_SIZE_AT_POLL_INTERVAL);
  }

  /** Returns the delay after the given number of failures in a row, which is at least 1. */
  Duration retryDelay(int failures) {
    int doublings = Math.min(failures - 1, Integer.SIZE - 2);
    Duration delay = firstRetryDelay.multipliedBy(1L << doublings);
    return delay.compareTo(maximumRetryDelay) < 0 ? delay : maximumRetryDelay;
  }
}
