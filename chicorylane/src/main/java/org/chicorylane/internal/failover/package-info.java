/** Home ownership of a database group, confirmation of its writes, and failover of its primary. */
@NullMarked
package org.chicorylane.internal.failover;

import org.jspecify.annotations.NullMarked;
