package org.chicorylane.standin.platform;

/**
 * An instance in the platform's instance list.
 *
 * @param id unique among instances
 * @param host the IP address
 * @param relayPort the TCP port for connections from other instances
 * @param membershipPort the UDP port for membership datagrams
 * @param availabilityZone the availability zone that the instance runs in
 */
public record PlatformInstance(
    String id, String host, int relayPort, int membershipPort, String availabilityZone) {}
