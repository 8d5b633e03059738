package org.chicorylane.internal.routing;

/** Whether a backend server may be given reads. */
public enum ServerAvailability {
  /** It takes part in its group. */
  JOINED(true),
  /** It takes no new work. */
  LEAVING(false),
  /** It cannot be reached, or its state is not known. */
  UNUSABLE(false),
  /** It follows no primary during a failover; what it holds stays readable and grows old. */
  SEALED(true);

  private final boolean acceptsReads;

  ServerAvailability(boolean acceptsReads) {
    this.acceptsReads = acceptsReads;
  }

  /** Returns whether it may be given reads. */
  public boolean acceptsReads() {
    return acceptsReads;
  }
}
