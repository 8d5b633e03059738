/** Stand-in for the platform: a key-value service and an instance list over HTTP. */
@NullMarked
package org.chicorylane.standin.platform;

import org.jspecify.annotations.NullMarked;
