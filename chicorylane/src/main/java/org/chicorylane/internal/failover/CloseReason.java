package org.chicorylane.internal.failover;

/** Why a home stops sending writes to the primary. */
public enum CloseReason {
  /** The primary does not answer; it may come back. */
  PRIMARY_SUSPECTED(false),
  /** Too few servers could confirm a write; they may come back. */
  NO_CONFIRMING_MAJORITY(false),
  /** The group moves to another home; writes in flight end first. */
  HANDING_OVER(false),
  /** The primary leaves; writes in flight end first. */
  SWITCHING_OVER(false),
  /** Another server is being made primary; no write of the old term is confirmed any more. */
  REPLACING_PRIMARY(true);

  private final boolean endsPendingWrites;

  CloseReason(boolean endsPendingWrites) {
    this.endsPendingWrites = endsPendingWrites;
  }

  /** Returns whether writes that wait for confirmation become unknown at once. */
  public boolean endsPendingWrites() {
    return endsPendingWrites;
  }
}
