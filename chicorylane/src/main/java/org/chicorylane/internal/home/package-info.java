/**
 * The home of a database group: the one instance that owns the connections and slots of the group's
 * backend servers and runs every request of the group.
 *
 * <p>Start with {@link HomeRegistry}, which holds one {@code GroupHome} per group. {@code
 * GroupRequestProcessor} admits and routes requests; {@code ControlDriver} carries out failover.
 */
@NullMarked
package org.chicorylane.internal.home;

import org.jspecify.annotations.NullMarked;
