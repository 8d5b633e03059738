package org.chicorylane.internal.membership;

import java.time.Instant;

/** The record that a member keeps of another one. Not thread-safe. */
final class Peer {

  private Member member;
  private Instant statusSince;
  private long revision;

  Peer(Member member, Instant now) {
    this.member = member;
    this.statusSince = now;
  }

  Member member() {
    return member;
  }

  MemberStatus status() {
    return member.status();
  }

  Instant statusSince() {
    return statusSince;
  }

  void replace(Member newer, Instant now) {
    member = newer;
    statusSince = now;
  }

  /** Counts the duration of the present status from {@code since}. */
  void setStatusSince(Instant since) {
    statusSince = since;
  }

  /** Sets the revision and returns whether it differs from the previous one. */
  boolean updateRevision(long newRevision) {
    boolean changed = revision != newRevision;
    revision = newRevision;
    return changed;
  }
}
