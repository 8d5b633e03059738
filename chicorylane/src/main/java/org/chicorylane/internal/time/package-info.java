/** The clock of an instance. */
@NullMarked
package org.chicorylane.internal.time;

import org.jspecify.annotations.NullMarked;
