/** Stand-ins for database servers and clients that speak the users' line protocol. */
@NullMarked
package org.chicorylane.standin.wire;

import org.jspecify.annotations.NullMarked;
