package org.chicorylane.internal.membership;

/**
 * What is believed of a member. Of two statements about the same incarnation the one of the later
 * constant holds.
 */
public enum MemberStatus {
  /** It answers. */
  ALIVE(true),
  /** It answers and has announced its shutdown. */
  LEAVING(true),
  /** It did not answer lately. */
  SUSPECT(true),
  /** It did not answer for the whole time of suspicion. */
  DEAD(false);

  private final boolean live;

  MemberStatus(boolean live) {
    this.live = live;
  }

  /** Returns whether the member still counts as a member of the fleet. */
  public boolean isLive() {
    return live;
  }
}
