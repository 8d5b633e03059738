package org.chicorylane.internal.declaration;

/**
 * A declared class of requests: its weight in the fair queue and whether it may be repeated.
 *
 * @param name unique among request classes
 * @param weight its share of free slots relative to other classes, at least 1
 * @param reservedSlots the slots of each server that other classes may not use, at least 0
 * @param repeatable whether the proxy may run such a request more than once
 * @param keyRequired whether writes of the class need an idempotency key
 */
public record RequestClass(
    String name, int weight, int reservedSlots, boolean repeatable, boolean keyRequired)
    implements Spec {}
