/**
 * Connections to backend servers through the PostgreSQL client. Start with {@link
 * org.chicorylane.internal.backend.ServerConnector}.
 */
@NullMarked
package org.chicorylane.internal.backend;

import org.jspecify.annotations.NullMarked;
