/**
 * Signed session tokens, which callers send to any instance to keep reading their own writes.
 *
 * <p>Start with {@link org.chicorylane.internal.session.SessionToken}; {@link
 * org.chicorylane.internal.session.SessionTokenCodec} encodes it as text.
 */
@NullMarked
package org.chicorylane.internal.session;

import org.jspecify.annotations.NullMarked;
