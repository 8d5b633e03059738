/** The operators' resource API: declarations read, changed and watched into force. */
@NullMarked
package org.chicorylane.internal.operator;

import org.jspecify.annotations.NullMarked;
