package org.chicorylane.internal.topology;

/**
 * A declared database group.
 *
 * @param name its name
 * @param maximumConnections connections that each of its servers accepts from all instances
 * @param confirmingReplicas replicas that hold a commit before it is acknowledged
 */
public record GroupDeclaration(String name, int maximumConnections, int confirmingReplicas) {}
