package org.chicorylane.internal.failover;

/** Why a home stops sending writes to the primary. */
public enum CloseReason {
  /** The primary does not answer, but may recover. */
  PRIMARY_SUSPECTED(false),
  /** Too few servers can confirm a write, but they may recover. */
  NO_CONFIRMING_MAJORITY(false),
  /** The group moves to another home; writes in flight complete first. */
  HANDING_OVER(false),
  /** The primary is leaving; writes in flight complete first. */
  SWITCHING_OVER(false),
  /** Another server is becoming primary; no write of the old term is confirmed any more. */
  REPLACING_PRIMARY(true);

  private final boolean endsPendingWrites;

  CloseReason(boolean endsPendingWrites) {
    this.endsPendingWrites = endsPendingWrites;
  }

  /** Returns whether writes that are waiting for confirmation get an unknown outcome at once. */
  public boolean endsPendingWrites() {
    return endsPendingWrites;
  }
}
