/** Tests of the commands of the command-line program. */
@NullMarked
package org.chicorylane.internal.command;

import org.jspecify.annotations.NullMarked;
