package org.chicorylane.bench;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.chicorylane.bench.demo.DemoCommand;
import org.chicorylane.bench.fleet.StandInsCommand;
import org.chicorylane.bench.load.BenchCommand;
import org.chicorylane.bench.soak.SoakCommand;
import org.chicorylane.internal.command.ApplyCommand;
import org.chicorylane.internal.command.CheckCommand;
import org.chicorylane.internal.command.Command;
import org.chicorylane.internal.command.DeleteCommand;
import org.chicorylane.internal.command.DiffCommand;
import org.chicorylane.internal.command.ExitCode;
import org.chicorylane.internal.command.GetCommand;
import org.chicorylane.internal.command.ReportCommand;
import org.chicorylane.internal.command.ServeCommand;
import org.chicorylane.internal.command.ServerStateCommand;
import org.chicorylane.internal.command.StatusCommand;
import org.chicorylane.internal.command.WaitCommand;

/** Runs the chicorylane program. */
public final class Main {
  private static final List<Command> COMMANDS =
      List.of(
          new DemoCommand(),
          new ServeCommand(),
          new CheckCommand(),
          new StandInsCommand(),
          new ApplyCommand(),
          new DiffCommand(),
          new GetCommand(),
          new DeleteCommand(),
          new WaitCommand(),
          new ServerStateCommand(ServerStateCommand.Action.DRAIN),
          new ServerStateCommand(ServerStateCommand.Action.JOIN),
          new StatusCommand(),
          new ReportCommand(),
          new BenchCommand(),
          new SoakCommand());

  private Main() {}

  /**
   * Runs the command that the arguments name, and ends the program with its exit code.
   *
   * @param arguments the command and its options
   */
  public static void main(String[] arguments) {
    System.exit(run(List.copyOf(Arrays.asList(arguments)), System.out, System.err).code());
  }

  static ExitCode run(List<String> arguments, PrintStream out, PrintStream err) {
    if (arguments.isEmpty() || arguments.get(0).equals("--help")) {
      usage(out);
      return arguments.isEmpty() ? ExitCode.USAGE : ExitCode.OK;
    }
    String name = arguments.get(0);
    Optional<Command> command = COMMANDS.stream().filter(c -> c.name().equals(name)).findFirst();
    if (command.isEmpty()) {
      err.println("chicorylane: there is no command \"" + name + "\"");
      usage(err);
      return ExitCode.USAGE;
    }
    if (arguments.contains("--help")) {
      out.println("usage: chicorylane " + name + " [OPTIONS]");
      out.println("  " + command.get().summary());
      out.print(command.get().help());
      return ExitCode.OK;
    }
    return command.get().run(arguments.subList(1, arguments.size()), out, err);
  }

  /** Returns the names of all commands. */
  static List<String> names() {
    return COMMANDS.stream().map(Command::name).toList();
  }

  private static void usage(PrintStream out) {
    out.println("usage: chicorylane COMMAND [OPTIONS]");
    COMMANDS.forEach(c -> out.printf("  %-10s %s%n", c.name(), c.summary()));
  }
}
