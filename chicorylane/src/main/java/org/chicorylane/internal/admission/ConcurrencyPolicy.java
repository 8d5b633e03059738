package org.chicorylane.internal.admission;

/** Determines how a server's concurrency limit reacts to the outcome of requests. */
public enum ConcurrencyPolicy {
  /** Keeps the limit, which has risen to the number of slots, regardless of the outcome. */
  FIXED {
    @Override
    int limitAfter(int limit, ServiceOutcome outcome) {
      return limit;
    }
  },
  /** Additive increase, multiplicative decrease: halves the limit on overload (Chiu, Jain 1989). */
  AIMD {
    @Override
    int limitAfter(int limit, ServiceOutcome outcome) {
      return outcome == ServiceOutcome.OVERLOAD ? Math.max(1, limit / 2) : limit;
    }
  };

  /** Returns the limit after a request has ended with {@code outcome}. */
  abstract int limitAfter(int limit, ServiceOutcome outcome);
}
