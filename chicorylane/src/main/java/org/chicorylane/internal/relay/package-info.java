/** Requests between an entry and the home of a database group. */
@NullMarked
package org.chicorylane.internal.relay;

import org.jspecify.annotations.NullMarked;
