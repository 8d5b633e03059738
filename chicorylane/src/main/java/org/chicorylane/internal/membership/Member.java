package org.chicorylane.internal.membership;

/**
 * The state of one instance of the fleet, as one observer believes it to be at one moment.
 *
 * <p>Immutable and thread-safe.
 *
 * @param instanceId unique among instances
 * @param host the IP address
 * @param membershipPort the UDP port of its membership agent
 * @param relayPort the TCP port for requests between instances
 * @param availabilityZone the availability zone that it runs in
 * @param incarnation a number that the member raises when it refutes a false belief about itself
 *     and when it announces its shutdown
 * @param status the status that the observer believes
 */
public record Member(
    String instanceId,
    String host,
    int membershipPort,
    int relayPort,
    String availabilityZone,
    long incarnation,
    MemberStatus status) {

  /** Returns a copy with the given incarnation and status. */
  Member with(long newIncarnation, MemberStatus newStatus) {
    return new Member(
        instanceId, host, membershipPort, relayPort, availabilityZone, newIncarnation, newStatus);
  }

  /**
   * Returns whether this state replaces {@code other}, a state of the same instance: it has a
   * higher incarnation, or the same incarnation and a later {@link MemberStatus}.
   */
  boolean supersedes(Member other) {
    return incarnation > other.incarnation
        || (incarnation == other.incarnation && status.compareTo(other.status) > 0);
  }
}
