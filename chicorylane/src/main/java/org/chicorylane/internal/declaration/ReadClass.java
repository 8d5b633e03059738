package org.chicorylane.internal.declaration;

import java.time.Duration;

/**
 * A declared class of reads with bounded staleness.
 *
 * @param name unique among read classes
 * @param maximumAge the maximum age of the data; zero means that only the primary may answer
 */
public record ReadClass(String name, Duration maximumAge) implements Spec {}
