package org.chicorylane.internal.admission;

/**
 * Token bucket that limits the system's own retries to a share of the successful requests, so that
 * retries don't multiply the load on a failing server.
 *
 * <p>Not thread-safe.
 */
final class RetryBudget {
  private static final double TOKENS_PER_SUCCESS = 0.1;
  private static final double MAX_TOKENS = 10;

  private double tokens = MAX_TOKENS;

  /** Adds the tokens for a successful request. */
  void onSuccess() {
    tokens = Math.min(MAX_TOKENS, tokens + TOKENS_PER_SUCCESS);
  }

  /** Takes a token for one retry; returns false if there is none. */
  boolean tryTake() {
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
}
