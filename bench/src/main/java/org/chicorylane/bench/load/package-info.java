/** Load tools that measure the system over real sockets, in one program. */
@NullMarked
package org.chicorylane.bench.load;

import org.jspecify.annotations.NullMarked;
