package org.chicorylane.internal.topology;

/**
 * A proxy instance as its peers see it.
 *
 * @param name its name
 * @param incarnation an id that changes with each start of the instance
 * @param address the host and port on which it accepts other instances
 * @param zone its availability zone
 * @param weight its relative capacity, at least 1
 */
public record PeerInstance(
    String name, String incarnation, String address, String zone, int weight) {}
