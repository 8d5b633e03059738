package org.chicorylane.internal.settings;

import java.time.Duration;

/**
 * Limits of an instance as the home of database groups.
 *
 * @param waitingRequests requests that may wait for a slot, for each group
 * @param transactionIdleLimit an interactive transaction without a call for so long is rolled back
 * @param ledgerRetention how long the result of a request with an idempotency key is kept
 */
public record HomeLimits(
    int waitingRequests, Duration transactionIdleLimit, Duration ledgerRetention) {

  /** Returns the limits of an instance whose settings say nothing of them. */
  public static HomeLimits defaults() {
    return new HomeLimits(2_000, Duration.ofSeconds(10), Duration.ofHours(24));
  }
}
