package org.chicorylane.internal.membership;

import java.time.Instant;

/** What one member remembers of another. Not thread-safe. */
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

  /** Counts the time of the present status from a later instant. */
  void postponeStatus(Instant since) {
    statusSince = since;
  }

  /** Takes the revision; returns whether it is another than before. */
  boolean updateRevision(long newRevision) {
    boolean changed = revision != newRevision;
    revision = newRevision;
    return changed;
  }
}
