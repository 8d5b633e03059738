/** Tests of the operators' resource API. */
@NullMarked
package org.chicorylane.internal.operator;

import org.jspecify.annotations.NullMarked;
