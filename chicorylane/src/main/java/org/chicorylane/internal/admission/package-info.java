/**
 * Admission control for a database group: decides which request runs next and refuses requests that
 * cannot run in time. Start with {@link org.chicorylane.internal.admission.AdmissionQueue}.
 */
@NullMarked
package org.chicorylane.internal.admission;

import org.jspecify.annotations.NullMarked;
