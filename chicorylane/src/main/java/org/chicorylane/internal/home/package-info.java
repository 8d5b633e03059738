/** The home of a database group: it owns the connections and slots of the group's servers. */
@NullMarked
package org.chicorylane.internal.home;

import org.jspecify.annotations.NullMarked;
