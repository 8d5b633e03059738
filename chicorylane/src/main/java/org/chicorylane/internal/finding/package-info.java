/** Findings: what is wrong with a document, where, collected and reported together. */
@NullMarked
package org.chicorylane.internal.finding;

import org.jspecify.annotations.NullMarked;
