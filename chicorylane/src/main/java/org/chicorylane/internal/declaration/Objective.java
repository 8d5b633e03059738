package org.chicorylane.internal.declaration;

import java.time.Duration;

/**
 * A declared service level objective of a request class.
 *
 * @param name unique among objectives
 * @param requestClass the name of the request class that it covers
 * @param target the fraction of requests that must be good, between 0 and 1, both exclusive
 * @param latency the maximum latency of a good request
 * @param window the period over which the fraction is computed
 */
public record Objective(
    String name, String requestClass, double target, Duration latency, Duration window)
    implements Spec {}
