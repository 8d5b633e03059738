/** The program's entry point, its demo, and its load and experiment tools. */
@NullMarked
package org.chicorylane.bench;

import org.jspecify.annotations.NullMarked;
