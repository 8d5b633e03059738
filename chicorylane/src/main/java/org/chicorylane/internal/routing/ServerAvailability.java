package org.chicorylane.internal.routing;

/** Whether a backend server may be sent reads. */
public enum ServerAvailability {
  /** The server is a member of its group. */
  JOINED(true),
  /** The server is leaving and receives no new requests. */
  LEAVING(false),
  /** The server cannot be reached, or its state is unknown. */
  UNUSABLE(false),
  /**
   * The server replicates from no primary during a failover. Its data can still be read but does
   * not get newer.
   */
  SEALED(true);

  private final boolean acceptsReads;

  ServerAvailability(boolean acceptsReads) {
    this.acceptsReads = acceptsReads;
  }

  /** Returns whether a server in this state may be sent reads. */
  public boolean acceptsReads() {
    return acceptsReads;
  }
}
