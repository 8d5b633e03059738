/**
 * The entry: the instance that a client is connected to. Keeps the clients' sessions and routes
 * each statement to the home of its database group, which may be another instance. Start with
 * {@link org.chicorylane.internal.entry.ClientSession}.
 */
@NullMarked
package org.chicorylane.internal.entry;

import org.jspecify.annotations.NullMarked;
