package org.chicorylane.internal.declaration;

/**
 * A declared backend server of a database group.
 *
 * @param name unique within the group
 * @param host the IP number
 * @param port the TCP port, 1 to 65535
 * @param availabilityZone the zone that it runs in
 * @param slots how many statements it runs at the same time, at least 1
 * @param connections how many connections all instances together may hold, at least 4
 * @param state whether it takes new work
 */
public record BackendServer(
    String name,
    String host,
    int port,
    String availabilityZone,
    int slots,
    int connections,
    ServerState state) {}
