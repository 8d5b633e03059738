/**
 * The subcommands of the command-line program that run an instance or send an operator's requests
 * to one. They depend only on the product; subcommands that also need stand-ins or benchmarks are
 * in the bench module. Start with {@link org.chicorylane.internal.command.Command}.
 */
@NullMarked
package org.chicorylane.internal.command;

import org.jspecify.annotations.NullMarked;
