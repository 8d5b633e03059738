/**
 * Strict JSON parsing of settings, operator documents and caller requests, reporting all findings
 * together. Start with {@link org.chicorylane.internal.json.JsonDocument}.
 */
@NullMarked
package org.chicorylane.internal.json;

import org.jspecify.annotations.NullMarked;
