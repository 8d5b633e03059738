package org.chicorylane.internal.admission;

/** How the limit of a server below its slots follows what the server does. */
public enum ConcurrencyPolicy {
  /** The limit rises to the slots and stays. */
  FIXED {
    @Override
    int afterService(int limit, ServiceOutcome outcome) {
      return limit;
    }
  },
  /** Halves the limit when the server reports overload (AIMD; Chiu and Jain 1989). */
  AIMD {
    @Override
    int afterService(int limit, ServiceOutcome outcome) {
      return outcome == ServiceOutcome.OVERLOAD ? Math.max(1, limit / 2) : limit;
    }
  };

  /** Returns the limit after a request has ended. */
  abstract int afterService(int limit, ServiceOutcome outcome);
}
