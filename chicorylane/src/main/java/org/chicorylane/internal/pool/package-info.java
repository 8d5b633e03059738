/** The home's side of a database group: its servers' connections, slots and queue. */
@NullMarked
package org.chicorylane.internal.pool;

import org.jspecify.annotations.NullMarked;
