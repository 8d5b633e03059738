package org.chicorylane.internal.relay;

/**
 * Where an instance is reached by other instances.
 *
 * @param instance its id
 * @param host its IP number
 * @param port its relay port
 * @param availabilityZone the zone that it runs in
 */
public record PeerAddress(String instance, String host, int port, String availabilityZone) {}
