/**
 * HTTP API for operators: reads and changes declarations, and shows which instances have applied
 * them. Start with {@link org.chicorylane.internal.operator.OperatorServer}.
 */
@NullMarked
package org.chicorylane.internal.operator;

import org.jspecify.annotations.NullMarked;
