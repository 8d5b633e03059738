/** Decides which backend server serves a read, so that sessions read their writes. */
@NullMarked
package org.chicorylane.internal.routing;

import org.jspecify.annotations.NullMarked;
