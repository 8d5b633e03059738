/**
 * Test doubles for the systems that chicorylane talks to: database groups in {@code database} and,
 * for the users' line protocol, in {@code wire}; the users' metadata store in {@code metadata}; and
 * the platform's key-value service and instance list in {@code platform}.
 */
@NullMarked
package org.chicorylane.standin;

import org.jspecify.annotations.NullMarked;
