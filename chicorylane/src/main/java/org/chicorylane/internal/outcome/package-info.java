/** What becomes of a request: the sealed outcome that every layer passes on. */
@NullMarked
package org.chicorylane.internal.outcome;

import org.jspecify.annotations.NullMarked;
