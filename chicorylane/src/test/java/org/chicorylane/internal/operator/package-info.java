/** Tests of the HTTP API for operators. */
@NullMarked
package org.chicorylane.internal.operator;

import org.jspecify.annotations.NullMarked;
