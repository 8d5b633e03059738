package org.chicorylane.standin.platform;

/**
 * An instance as the platform lists it.
 *
 * @param id unique among instances
 * @param host the IP number
 * @param relayPort the TCP port for other instances
 * @param membershipPort the UDP port for membership datagrams
 * @param availabilityZone the zone that it runs in
 */
public record PlatformInstance(
    String id, String host, int relayPort, int membershipPort, String availabilityZone) {}
