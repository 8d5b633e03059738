package org.chicorylane.internal.command;

import java.io.PrintStream;
import java.util.List;

/** A subcommand of the command-line program. Implementations are stateless. */
public interface Command {

  /** Returns the name of the command, as given on the command line. */
  String name();

  /** Returns a one-line description of the command. */
  String summary();

  /** Returns the options with their defaults and an example, one on each line. */
  String help();

  /**
   * Runs the command.
   *
   * @param arguments the arguments after the command's name
   * @param out receives results
   * @param err receives error messages
   * @return the exit code of the program
   */
  ExitCode run(List<String> arguments, PrintStream out, PrintStream err);
}
