/** The HTTP edge: callers send SQL as JSON over HTTP/1.1 or HTTP/2 and get whole answers. */
@NullMarked
package org.chicorylane.internal.caller;

import org.jspecify.annotations.NullMarked;
