/** Stand-ins for the systems that chicorylane talks to: database groups and the platform. */
@NullMarked
package org.chicorylane.standin;

import org.jspecify.annotations.NullMarked;
