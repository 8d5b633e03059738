/** Explains where a played day lost credit, from the report of the users' bench and our logs. */
@NullMarked
package org.chicorylane.bench.day;

import org.jspecify.annotations.NullMarked;
