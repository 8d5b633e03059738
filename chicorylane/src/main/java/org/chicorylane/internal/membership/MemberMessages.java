package org.chicorylane.internal.membership;

import java.util.Optional;
import java.util.function.Function;
import org.chicorylane.internal.membership.generated.MemberMessage;

/** Converts {@link Member}s to and from their protobuf messages. Stateless and thread-safe. */
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

  /**
   * Returns the gossip update about {@code member}. The update of a suspect or dead member omits
   * its host, ports and availability zone.
   */
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
   * Returns the member that an update describes, or empty if the update is malformed, or if it
   * omits the host of a member that this instance has no record of.
   *
   * @param findMember returns this instance's record of the member with the given id
   */
  static Optional<Member> fromUpdate(
      MemberMessage message, Function<String, Optional<Member>> findMember) {
    if (!message.getHost().isEmpty()) {
      return toMember(message);
    }
    Optional<MemberStatus> status = parseStatus(message.getStatus());
    if (status.isEmpty() || message.getIncarnation() < 0) {
      return Optional.empty();
    }
    return findMember
        .apply(message.getInstance())
        .map(member -> member.with(message.getIncarnation(), status.get()));
  }

  /** Returns the member that a complete message describes, or empty if it is malformed. */
  static Optional<Member> toMember(MemberMessage message) {
    Optional<MemberStatus> status = parseStatus(message.getStatus());
    if (status.isEmpty()
        || message.getInstance().isEmpty()
        || message.getHost().isEmpty()
        || message.getIncarnation() < 0
        || !isValidPort(message.getMembershipPort())
        || !isValidPort(message.getRelayPort())) {
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

  private static boolean isValidPort(int port) {
    return port >= 1 && port <= MAX_PORT;
  }

  private static Optional<MemberStatus> parseStatus(String name) {
    for (MemberStatus status : MemberStatus.values()) {
      if (status.name().equals(name)) {
        return Optional.of(status);
      }
    }
    return Optional.empty();
  }
}
