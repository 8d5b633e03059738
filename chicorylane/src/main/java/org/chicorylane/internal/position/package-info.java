/** Terms and log positions of database groups. */
@NullMarked
package org.chicorylane.internal.position;

import org.jspecify.annotations.NullMarked;
