package org.chicorylane.internal.platform;

/**
 * An instance as the platform lists it. The list may be out of date.
 *
 * <p>Immutable and thread-safe.
 *
 * @param instanceId the unique id of the instance
 * @param host the IP address
 * @param relayPort the TCP port for requests between instances
 * @param membershipPort the UDP port for membership datagrams
 * @param availabilityZone the availability zone that the instance runs in
 * @param leaving whether the instance is shutting down
 */
public record ListedInstance(
    String instanceId,
    String host,
    int relayPort,
    int membershipPort,
    String availabilityZone,
    boolean leaving) {}
