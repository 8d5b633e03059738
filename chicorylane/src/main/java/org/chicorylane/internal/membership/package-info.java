/** Which instances are alive, by SWIM over UDP, and which of them may be home of a group. */
@NullMarked
package org.chicorylane.internal.membership;

import org.jspecify.annotations.NullMarked;
