/** The platform, database groups and instances that the demo and the load tools run against. */
@NullMarked
package org.chicorylane.bench.fleet;

import org.jspecify.annotations.NullMarked;
