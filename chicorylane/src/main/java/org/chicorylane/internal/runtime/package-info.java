/**
 * Runtime services shared by all parts of an instance: the clock, timers, the decision log and
 * socket helpers. Start with {@link org.chicorylane.internal.runtime.Scheduler} and {@link
 * org.chicorylane.internal.runtime.DecisionLog}.
 */
@NullMarked
package org.chicorylane.internal.runtime;

import org.jspecify.annotations.NullMarked;
