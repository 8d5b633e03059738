package org.chicorylane.internal.platform;

/**
 * An instance as the platform lists it. The list lags.
 *
 * <p>Immutable and thread-safe.
 *
 * @param instanceId unique among instances
 * @param host the IP number
 * @param relayPort the TCP port for requests between instances
 * @param membershipPort the UDP port for membership datagrams
 * @param availabilityZone the zone that it runs in
 * @param leaving whether it is shutting down
 */
public record ListedInstance(
    String instanceId,
    String host,
    int relayPort,
    int membershipPort,
    String availabilityZone,
    boolean leaving) {}
