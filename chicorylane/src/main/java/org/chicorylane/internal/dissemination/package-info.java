/**
 * Distribution of the operators' declarations from the key-value store to all instances: a few
 * instances watch the store, and the others learn of new revisions by gossip and pull them from
 * peers.
 *
 * <p>Start with {@link org.chicorylane.internal.dissemination.DeclarationFeed}, which runs {@link
 * org.chicorylane.internal.dissemination.RevisionStateMachine}.
 */
@NullMarked
package org.chicorylane.internal.dissemination;

import org.jspecify.annotations.NullMarked;
