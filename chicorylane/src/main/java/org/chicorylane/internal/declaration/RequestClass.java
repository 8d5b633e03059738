package org.chicorylane.internal.declaration;

/**
 * A declared class of requests: its share under load and whether it may be repeated.
 *
 * @param name unique among request classes
 * @param weight the share of free slots relative to other classes, at least 1
 * @param reservedSlots slots of a server that other classes may not take, at least 0
 * @param repeatable whether the system may run such a request more than once
 * @param keyRequired whether a write of the class needs an idempotency key
 */
public record RequestClass(
    String name, int weight, int reservedSlots, boolean repeatable, boolean keyRequired)
    implements Spec {}
