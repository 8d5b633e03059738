/** How the declarations in the key-value service come into force on all instances. */
@NullMarked
package org.chicorylane.internal.dissemination;

import org.jspecify.annotations.NullMarked;
