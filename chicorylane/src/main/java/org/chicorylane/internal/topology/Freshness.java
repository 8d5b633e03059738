package org.chicorylane.internal.topology;

/** The consistency level of reads on a route: which commits a read must see. */
public enum Freshness {
  /** All commits; only the primary serves the reads. */
  LATEST(false, false),
  /** Bounded staleness: all commits older than the route's maximum age. */
  BOUNDED_AGE(true, false),
  /** Read your writes: as {@link #BOUNDED_AGE}, plus all of the session's own commits. */
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
