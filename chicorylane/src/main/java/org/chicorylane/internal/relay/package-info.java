/**
 * Carries requests between an entry and the home of a database group, and questions between
 * instances. Start with {@link org.chicorylane.internal.relay.EntryRouter} on the entry's side and
 * {@link org.chicorylane.internal.relay.RelayServer} on the home's side.
 */
@NullMarked
package org.chicorylane.internal.relay;

import org.jspecify.annotations.NullMarked;
