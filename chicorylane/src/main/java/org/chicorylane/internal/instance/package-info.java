/** Puts the parts of one instance together, starts and drains them. */
@NullMarked
package org.chicorylane.internal.instance;

import org.jspecify.annotations.NullMarked;
