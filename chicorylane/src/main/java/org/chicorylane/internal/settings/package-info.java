/** The parts of an instance's settings, and reading them with all findings at once. */
@NullMarked
package org.chicorylane.internal.settings;

import org.jspecify.annotations.NullMarked;
