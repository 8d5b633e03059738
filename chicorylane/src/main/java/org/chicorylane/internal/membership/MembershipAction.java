package org.chicorylane.internal.membership;

import org.chicorylane.internal.membership.generated.MembershipDatagram;

/** What the caller of {@link MembershipProtocol} has to do. */
public sealed interface MembershipAction {

  /** Send {@code datagram} to the membership agent of {@code target}. */
  record Send(Member target, MembershipDatagram datagram) implements MembershipAction {}

  /** Tell listeners that the belief about {@code member} changed; the own status included. */
  record Changed(Member member) implements MembershipAction {}

  /** Tell listeners that a dead member is no longer remembered. */
  record Forgotten(String instanceId) implements MembershipAction {}

  /** Note that {@code instanceId} has {@code revision} of the declarations in force. */
  record RevisionSeen(String instanceId, long revision) implements MembershipAction {}
}
