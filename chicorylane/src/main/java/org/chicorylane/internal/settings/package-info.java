/**
 * The sections of an instance's settings file and their reader, which reports all findings
 * together. Start with {@link org.chicorylane.internal.settings.SettingsDocument}.
 */
@NullMarked
package org.chicorylane.internal.settings;

import org.jspecify.annotations.NullMarked;
