/** Findings about documents: a fault and its location, collected and reported together. */
@NullMarked
package org.chicorylane.internal.finding;

import org.jspecify.annotations.NullMarked;
