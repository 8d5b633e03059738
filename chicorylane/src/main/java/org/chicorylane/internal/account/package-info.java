/**
 * Client accounts: who may use the databases, with which keys, and how much.
 *
 * <p>Everything here is confined to the instance's thread or immutable.
 */
@NullMarked
package org.chicorylane.internal.account;

import org.jspecify.annotations.NullMarked;
