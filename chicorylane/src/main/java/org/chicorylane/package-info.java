/** The public surface of chicorylane, a database proxy with session consistency. */
@NullMarked
package org.chicorylane;

import org.jspecify.annotations.NullMarked;
