package org.chicorylane.internal.admission;

/**
 * Limits the system's own retries to a share of the successes, by a token bucket, so that retries
 * don't multiply the load on a server that fails.
 *
 * <p>Not thread-safe.
 */
final class RetryBudget {
  private static final double TOKENS_PER_SUCCESS = 0.1;
  private static final double MAX_TOKENS = 10;

  private double tokens = MAX_TOKENS;

  /** Counts a success. */
  void onSuccess() {
    tokens = Math.min(MAX_TOKENS, tokens + TOKENS_PER_SUCCESS);
  }

  /** Returns whether one more retry may be made, and takes its token if so. */
  boolean tryTake() {
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
}
