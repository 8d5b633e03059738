package org.chicorylane.internal.membership;

import java.util.Optional;
import java.util.function.Function;
import org.chicorylane.internal.membership.generated.MemberMessage;

/** Translates members to and from their messages. */
final class MemberMessages {

  private static final int MAX_PORT = 65535;

  private MemberMessages() {}

  static MemberMessage toMessage(Member member) {
    return MemberMessage.newBuilder()
        .setInstance(member.instanceId())
        .setHost(member.host())
        .setMembershipPort(member.membershipPort())
        .setRelayPort(member.relayPort())
        .setAvailabilityZone(member.availabilityZone())
        .setIncarnation(member.incarnation())
        .setStatus(member.status().name())
        .build();
  }

  /** Returns the update about {@code member}: without its addresses if it does not answer. */
  static MemberMessage toUpdate(Member member) {
    if (member.status().compareTo(MemberStatus.SUSPECT) < 0) {
      return toMessage(member);
    }
    return MemberMessage.newBuilder()
        .setInstance(member.instanceId())
        .setIncarnation(member.incarnation())
        .setStatus(member.status().name())
        .build();
  }

  /**
   * Returns the member that an update speaks of, or empty if the update is malformed or leaves out
   * the addresses of an unknown member.
   *
   * @param known finds the member as known here by its id
   */
  static Optional<Member> fromUpdate(
      MemberMessage message, Function<String, Optional<Member>> known) {
    if (!message.getHost().isEmpty()) {
      return toMember(message);
    }
    Optional<MemberStatus> status = status(message.getStatus());
    if (status.isEmpty() || message.getIncarnation() < 0) {
      return Optional.empty();
    }
    return known
        .apply(message.getInstance())
        .map(member -> member.with(message.getIncarnation(), status.get()));
  }

  /** Returns the member, or empty if the message is malformed. */
  static Optional<Member> toMember(MemberMessage message) {
    Optional<MemberStatus> status = status(message.getStatus());
    if (status.isEmpty()
        || message.getInstance().isEmpty()
        || message.getHost().isEmpty()
        || message.getIncarnation() < 0
        || !isPort(message.getMembershipPort())
        || !isPort(message.getRelayPort())) {
      return Optional.empty();
    }
    return Optional.of(
        new Member(
            message.getInstance(),
            message.getHost(),
            message.getMembershipPort(),
            message.getRelayPort(),
            message.getAvailabilityZone(),
            message.getIncarnation(),
            status.get()));
  }

  private static boolean isPort(int port) {
    return port >= 1 && port <= MAX_PORT;
  }

  private static Optional<MemberStatus> status(String name) {
    for (MemberStatus status : MemberStatus.values()) {
      if (status.name().equals(name)) {
        return Optional.of(status);
      }
    }
    return Optional.empty();
  }
}
