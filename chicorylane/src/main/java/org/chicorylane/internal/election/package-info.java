/** Which instance is the home of a database group, and which server is its primary. */
@NullMarked
package org.chicorylane.internal.election;

import org.jspecify.annotations.NullMarked;
