/**
 * Assembles the components of one instance, starts, drains and closes them. Start with {@link
 * org.chicorylane.internal.instance.Instance}.
 */
@NullMarked
package org.chicorylane.internal.instance;

import org.jspecify.annotations.NullMarked;
