/** Decides which request of a database group runs next, and which are refused. */
@NullMarked
package org.chicorylane.internal.admission;

import org.jspecify.annotations.NullMarked;
