/**
 * Failover for one database group: home ownership by locks on the backend servers, quorum
 * confirmation of writes, and replacement of a failed or leaving primary.
 *
 * <p>Start with {@link org.chicorylane.internal.failover.HomeStateMachine}: it receives {@link
 * org.chicorylane.internal.failover.HomeEvent}s, returns {@link
 * org.chicorylane.internal.failover.HomeAction}s and performs no I/O itself.
 */
@NullMarked
package org.chicorylane.internal.failover;

import org.jspecify.annotations.NullMarked;
