package org.chicorylane.internal.topology;

/**
 * A database group as the operators declare it.
 *
 * @param name the group's name
 * @param maximumConnections the number of connections that each server of the group accepts from
 *     all instances together
 * @param confirmingReplicas the number of replicas that must hold a commit before it is
 *     acknowledged
 */
public record GroupDeclaration(String name, int maximumConnections, int confirmingReplicas) {}
