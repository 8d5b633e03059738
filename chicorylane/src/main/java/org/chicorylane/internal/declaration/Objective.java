package org.chicorylane.internal.declaration;

import java.time.Duration;

/**
 * A declared service level objective of a request class.
 *
 * @param name unique among objectives
 * @param requestClass the class that it speaks of
 * @param target the share of requests that must be good, between 0 and 1 exclusive
 * @param latency a good request is answered within this time
 * @param window the time over which the share is taken
 */
public record Objective(
    String name, String requestClass, double target, Duration latency, Duration window)
    implements Spec {}
