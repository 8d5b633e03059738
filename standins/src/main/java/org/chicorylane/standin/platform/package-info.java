/**
 * Test double for the platform: a key-value service and an instance list over HTTP. Start with
 * {@link org.chicorylane.standin.platform.StandInPlatform}.
 */
@NullMarked
package org.chicorylane.standin.platform;

import org.jspecify.annotations.NullMarked;
