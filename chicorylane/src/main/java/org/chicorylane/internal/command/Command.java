package org.chicorylane.internal.command;

import java.io.PrintStream;
import java.util.List;

/** A command of the program. Implementations are stateless. */
public interface Command {

  /** Returns the word that names the command. */
  String name();

  /** Returns what the command does, on one line. */
  String summary();

  /** Returns the options with their defaults and an example, one a line. */
  String help();

  /**
   * Runs the command.
   *
   * @param arguments what follows the command's name
   * @param out where results go
   * @param err where complaints go
   * @return the exit code of the program
   */
  ExitCode run(List<String> arguments, PrintStream out, PrintStream err);
}
