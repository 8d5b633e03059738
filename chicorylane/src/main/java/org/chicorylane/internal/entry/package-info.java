/** The entry's side: clients' sessions, and the way of their statements to the groups' homes. */
@NullMarked
package org.chicorylane.internal.entry;

import org.jspecify.annotations.NullMarked;
