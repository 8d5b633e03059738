package org.chicorylane.internal.membership;

import org.chicorylane.internal.membership.generated.MembershipDatagram;

/** An action that {@link MembershipProtocol} asks its caller to perform. */
public sealed interface MembershipAction {

  /** Sends {@code datagram} to the membership agent of {@code target}. */
  record Send(Member target, MembershipDatagram datagram) implements MembershipAction {}

  /** Notifies listeners that the state of {@code member}, which may be this instance, changed. */
  record Changed(Member member) implements MembershipAction {}

  /** Notifies listeners that the record of a dead member was removed. */
  record Forgotten(String instanceId) implements MembershipAction {}

  /** Records that {@code instanceId} has {@code revision} of the declarations in force. */
  record RevisionSeen(String instanceId, long revision) implements MembershipAction {}
}
