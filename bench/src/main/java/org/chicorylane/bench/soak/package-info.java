/**
 * Runs instances as processes over stand-in databases, injects faults that are drawn from a seed,
 * and checks what clients were told against the databases' logs. Start with {@link
 * org.chicorylane.bench.soak.SoakRun}.
 */
@NullMarked
package org.chicorylane.bench.soak;

import org.jspecify.annotations.NullMarked;
