/** Authenticated session tokens, which callers carry from instance to instance. */
@NullMarked
package org.chicorylane.internal.session;

import org.jspecify.annotations.NullMarked;
