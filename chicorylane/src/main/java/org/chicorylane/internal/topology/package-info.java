/**
 * The declared topology: the operators' routes and database groups, the backend servers and the
 * proxy instances. Start with {@link org.chicorylane.internal.topology.Configuration}, and with
 * {@link org.chicorylane.internal.topology.ServerDirectory} for the servers that are present.
 */
@NullMarked
package org.chicorylane.internal.topology;

import org.jspecify.annotations.NullMarked;
