/**
 * The stand-in platform, the stand-in database groups and the embedded instances that the demo and
 * the load tools run against.
 *
 * <p>Start with {@link org.chicorylane.bench.fleet.StandInFleet}.
 */
@NullMarked
package org.chicorylane.bench.fleet;

import org.jspecify.annotations.NullMarked;
