/** SQL statements, values and results as callers send and receive them. */
@NullMarked
package org.chicorylane.internal.statement;

import org.jspecify.annotations.NullMarked;
