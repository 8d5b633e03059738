package org.chicorylane.internal.relay;

/**
 * The address at which other instances reach an instance.
 *
 * @param instance the id of the instance
 * @param host the IP address
 * @param port the relay port
 * @param availabilityZone the availability zone in which the instance runs
 */
public record PeerAddress(String instance, String host, int port, String availabilityZone) {}
