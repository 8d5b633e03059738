/**
 * Log positions of database groups and the terms that they belong to.
 *
 * <p>Start with {@link org.chicorylane.internal.position.LogPosition}.
 */
@NullMarked
package org.chicorylane.internal.position;

import org.jspecify.annotations.NullMarked;
