package org.chicorylane.internal.declaration;

/**
 * A declared backend server of a database group.
 *
 * @param name unique within the group
 * @param host the IP address
 * @param port the TCP port, 1 to 65535
 * @param availabilityZone the availability zone that it runs in
 * @param slots the maximum number of statements that run on it concurrently, at least 1
 * @param connections the maximum number of connections of all instances together, at least 4
 * @param state whether it accepts new work
 */
public record BackendServer(
    String name,
    String host,
    int port,
    String availabilityZone,
    int slots,
    int connections,
    ServerState state) {}
