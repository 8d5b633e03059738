package org.chicorylane.internal.topology;

/**
 * An instance of the proxy.
 *
 * @param name its name
 * @param incarnation differs after each start
 * @param address host and port on which it talks to other instances
 * @param zone its availability zone
 * @param weight its relative capacity, at least 1
 */
public record PeerInstance(
    String name, String incarnation, String address, String zone, int weight) {}
