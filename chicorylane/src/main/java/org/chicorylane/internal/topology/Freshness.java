package org.chicorylane.internal.topology;

/** Which commits a read of a route must see. */
public enum Freshness {
  /** All commits; only the primary serves. */
  LATEST(false, false),
  /** All commits older than the route's age. */
  BOUNDED_AGE(true, false),
  /** All commits older than the route's age, and the session's own. */
  OWN_WRITES(true, true);

  private final boolean allowsReplicas;
  private final boolean includesOwnWrites;

  Freshness(boolean allowsReplicas, boolean includesOwnWrites) {
    this.allowsReplicas = allowsReplicas;
    this.includesOwnWrites = includesOwnWrites;
  }

  /** Returns whether replicas may serve reads. */
  public boolean allowsReplicas() {
    return allowsReplicas;
  }

  /** Returns whether reads must see the session's own writes. */
  public boolean includesOwnWrites() {
    return includesOwnWrites;
  }
}
