/** Puts the parts of an instance together that serves sessions over groups' homes. */
@NullMarked
package org.chicorylane.internal.proxy;

import org.jspecify.annotations.NullMarked;
