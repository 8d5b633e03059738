/** The demo: stand-ins, instances and callers in one program, and an audit of what was promised. */
@NullMarked
package org.chicorylane.bench.demo;

import org.jspecify.annotations.NullMarked;
