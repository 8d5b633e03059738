/**
 * Test doubles for the database servers and clients that use the users' line protocol. Start with
 * {@link org.chicorylane.standin.wire.StandInSystem}, which starts a complete environment for an
 * instance.
 */
@NullMarked
package org.chicorylane.standin.wire;

import org.jspecify.annotations.NullMarked;
