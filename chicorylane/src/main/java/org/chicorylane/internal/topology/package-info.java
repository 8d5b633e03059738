/** What operators and servers declare: routes, database groups, backend servers, instances. */
@NullMarked
package org.chicorylane.internal.topology;

import org.jspecify.annotations.NullMarked;
