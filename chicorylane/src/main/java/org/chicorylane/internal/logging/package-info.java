/**
 * Logging of an instance, as plain text or as JSON lines. Start with {@link
 * org.chicorylane.internal.logging.LogSetup}, which configures it from the settings.
 */
@NullMarked
package org.chicorylane.internal.logging;

import org.jspecify.annotations.NullMarked;
