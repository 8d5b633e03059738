/**
 * Connection pool and statement queue of one database group at its home. Start with {@link
 * org.chicorylane.internal.pool.GroupPool}.
 */
@NullMarked
package org.chicorylane.internal.pool;

import org.jspecify.annotations.NullMarked;
