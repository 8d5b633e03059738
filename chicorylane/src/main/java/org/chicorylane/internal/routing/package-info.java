/**
 * Selects the backend servers that may serve a read, with bounded staleness and read-your-writes
 * consistency for sessions. Start with {@link org.chicorylane.internal.routing.ReplicaRouter}.
 */
@NullMarked
package org.chicorylane.internal.routing;

import org.jspecify.annotations.NullMarked;
