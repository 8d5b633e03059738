/** Clients of the platform: the key-value service and the instance list. */
@NullMarked
package org.chicorylane.internal.platform;

import org.jspecify.annotations.NullMarked;
