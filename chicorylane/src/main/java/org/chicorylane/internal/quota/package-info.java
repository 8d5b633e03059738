/**
 * Limits on the statements of each client account, which hold over all instances together.
 *
 * <p>Everything here is confined to the instance's thread or immutable.
 */
@NullMarked
package org.chicorylane.internal.quota;

import org.jspecify.annotations.NullMarked;
