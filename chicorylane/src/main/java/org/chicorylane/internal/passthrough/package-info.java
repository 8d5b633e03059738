/** Statements that pass through unchanged, and their answers. */
@NullMarked
package org.chicorylane.internal.passthrough;

import org.jspecify.annotations.NullMarked;
