/**
 * The result of a request, which every layer passes on unchanged: {@link
 * org.chicorylane.internal.outcome.Outcome} and the reasons for not running a request.
 */
@NullMarked
package org.chicorylane.internal.outcome;

import org.jspecify.annotations.NullMarked;
