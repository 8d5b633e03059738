package org.chicorylane.internal.membership;

/**
 * A member of the fleet as believed at one time.
 *
 * <p>Immutable and thread-safe.
 *
 * @param instanceId unique among instances
 * @param host the IP number
 * @param membershipPort the UDP port of its membership agent
 * @param relayPort the TCP port for requests between instances
 * @param availabilityZone the zone that it runs in
 * @param incarnation grows each time that the member contradicts a false belief about it
 * @param status what is believed of it
 */
public record Member(
    String instanceId,
    String host,
    int membershipPort,
    int relayPort,
    String availabilityZone,
    long incarnation,
    MemberStatus status) {

  /** Returns the same member with another incarnation and status. */
  Member with(long newIncarnation, MemberStatus newStatus) {
    return new Member(
        instanceId, host, membershipPort, relayPort, availabilityZone, newIncarnation, newStatus);
  }

  /** Returns whether this statement replaces {@code other} about the same instance. */
  boolean supersedes(Member other) {
    return incarnation > other.incarnation
        || (incarnation == other.incarnation && status.compareTo(other.status) > 0);
  }
}
