/**
 * Connections between instances, which carry statements to the homes of groups, questions, and
 * heartbeats. Start with {@link org.chicorylane.internal.mesh.PeerLink}.
 */
@NullMarked
package org.chicorylane.internal.mesh;

import org.jspecify.annotations.NullMarked;
