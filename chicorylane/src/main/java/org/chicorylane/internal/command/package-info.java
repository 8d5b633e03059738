/** The commands of the program that need nothing but the product. */
@NullMarked
package org.chicorylane.internal.command;

import org.jspecify.annotations.NullMarked;
