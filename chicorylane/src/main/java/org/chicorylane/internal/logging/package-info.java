/** Logs of an instance: set up from its settings, as text or as JSON lines. */
@NullMarked
package org.chicorylane.internal.logging;

import org.jspecify.annotations.NullMarked;
