package org.chicorylane.internal.membership;

/**
 * The status of a member. The order of the constants matters: of two reports about the same
 * incarnation, the one with the later constant wins.
 */
public enum MemberStatus {
  /** The member answers. */
  ALIVE(true),
  /** The member answers and has announced its shutdown. */
  LEAVING(true),
  /** The member did not answer a recent probe, but the suspicion timeout has not expired. */
  SUSPECT(true),
  /** The member did not answer before the suspicion timeout expired. */
  DEAD(false);

  private final boolean live;

  MemberStatus(boolean live) {
    this.live = live;
  }

  /** Returns whether the member counts as part of the fleet: true for all but {@link #DEAD}. */
  public boolean isLive() {
    return live;
  }
}
