/**
 * The public API of chicorylane, a database proxy with session consistency. Start with {@link
 * org.chicorylane.SettingsReader}.
 */
@NullMarked
package org.chicorylane;

import org.jspecify.annotations.NullMarked;
