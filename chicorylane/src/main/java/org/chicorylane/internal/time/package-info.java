/**
 * Time for deadlines and timeouts that is independent of corrections of the system clock. See
 * {@link org.chicorylane.internal.time.SteadyInstantSource}.
 */
@NullMarked
package org.chicorylane.internal.time;

import org.jspecify.annotations.NullMarked;
