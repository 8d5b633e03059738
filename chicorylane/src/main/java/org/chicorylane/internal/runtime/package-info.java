/** Time, timers and the decision log that the cores of an instance share. */
@NullMarked
package org.chicorylane.internal.runtime;

import org.jspecify.annotations.NullMarked;
