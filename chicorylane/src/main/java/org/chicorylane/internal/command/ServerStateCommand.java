package org.chicorylane.internal.command;

import java.io.PrintStream;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/**
 * The {@code drain} and {@code join} commands: stop or resume giving work of a database group to
 * one of its backend servers.
 */
public final class ServerStateCommand implements Command {
  private static final String HELP =
      """
        SERVER           the server
        --group GROUP    its database group; required
        --operator URL   any instance, http://127.0.0.1:7403 by default
        --token TOKEN    the operators' token, environment CHICORYLANE_TOKEN by default
        --output FORMAT  table (default) or json
        --by NAME        who makes the change, the user's name at the system by default
      example: chicorylane %s ledger-smichov --group ledger
      """;

  /** The change to make to the server. */
  public enum Action {
    /** The server gets no new work. */
    DRAIN("drain", "give a server no new work: SERVER --group GROUP"),
    /** The server gets work again. */
    JOIN("join", "let a server work again: SERVER --group GROUP");

    private final String commandName;
    private final String summary;

    Action(String commandName, String summary) {
      this.commandName = commandName;
      this.summary = summary;
    }
  }

  private final Action action;

  /** Creates the command for an action. */
  public ServerStateCommand(Action action) {
    this.action = action;
  }

  @Override
  public String name() {
    return action.commandName;
  }

  @Override
  public String summary() {
    return action.summary;
  }

  @Override
  public String help() {
    return HELP.formatted(name());
  }

  @Override
  public ExitCode run(List<String> arguments, PrintStream out, PrintStream err) {
    Options commandOptions =
        new Options()
            .addOption(
                Option.builder().longOpt("group").hasArg().argName("GROUP").required().get());
    Optional<OperatorOptions> options = OperatorOptions.read(commandOptions, 1, arguments, err);
    if (options.isEmpty()) {
      return ExitCode.USAGE;
    }
    if (options.get().positionalArguments().isEmpty()) {
      err.println("chicorylane: " + name() + " takes the name of a server");
      return ExitCode.USAGE;
    }
    String path =
        "/v1/servers/"
            + OperatorClient.encodeSegment(options.get().line().getOptionValue("group"))
            + "/"
            + OperatorClient.encodeSegment(options.get().positionalArguments().get(0))
            + "/"
            + action.commandName;
    OperatorReply reply = options.get().client().send("POST", path, "");
    return OperatorPrinter.printChange(reply, options.get().printsJson(), out, err);
  }
}
