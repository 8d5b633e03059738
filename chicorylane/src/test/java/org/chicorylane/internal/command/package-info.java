/** Tests of the commands. */
@NullMarked
package org.chicorylane.internal.command;

import org.jspecify.annotations.NullMarked;
