package org.chicorylane.internal.declaration;

import java.time.Duration;

/**
 * A declared kind of read and the age of data that it accepts.
 *
 * @param name unique among read classes
 * @param maximumAge the oldest data accepted; zero asks for the primary
 */
public record ReadClass(String name, Duration maximumAge) implements Spec {}
