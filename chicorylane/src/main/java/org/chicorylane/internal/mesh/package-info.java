/** Connections between instances: statements for homes, questions, heartbeats. */
@NullMarked
package org.chicorylane.internal.mesh;

import org.jspecify.annotations.NullMarked;
