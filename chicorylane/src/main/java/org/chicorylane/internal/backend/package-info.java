/** Connections to backend servers through the PostgreSQL client. */
@NullMarked
package org.chicorylane.internal.backend;

import org.jspecify.annotations.NullMarked;
