package org.chicorylane.internal.settings;

import java.time.Duration;

/**
 * Limits of an instance as the home of database groups.
 *
 * @param waitingRequests the maximum number of requests of each group that wait for a slot
 * @param transactionIdleLimit the idle time after which an interactive transaction is rolled back
 * @param ledgerRetention how long results of requests with an idempotency key are kept
 */
public record HomeLimits(
    int waitingRequests, Duration transactionIdleLimit, Duration ledgerRetention) {

  /** Returns the limits that apply if the settings contain none. */
  public static HomeLimits defaults() {
    return new HomeLimits(2_000, Duration.ofSeconds(10), Duration.ofHours(24));
  }
}
