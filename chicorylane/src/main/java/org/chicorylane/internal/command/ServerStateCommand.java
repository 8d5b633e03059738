package org.chicorylane.internal.command;

import java.io.PrintStream;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/** Takes a backend server out of its group's work, or back into it. */
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

  /** What is done to the server. */
  public enum Action {
    /** It gets no new work. */
    DRAIN("drain", "give a server no new work: SERVER --group GROUP"),
    /** It works again. */
    JOIN("join", "let a server work again: SERVER --group GROUP");

    private final String word;
    private final String summary;

    Action(String word, String summary) {
      this.word = word;
      this.summary = summary;
    }
  }

  private final Action action;

  /** Creates the command of that name. */
  public ServerStateCommand(Action action) {
    this.action = action;
  }

  @Override
  public String name() {
    return action.word;
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
    Options own =
        new Options()
            .addOption(
                Option.builder().longOpt("group").hasArg().argName("GROUP").required().get());
    Optional<OperatorOptions> options = OperatorOptions.read(own, 1, arguments, err);
    if (options.isEmpty()) {
      return ExitCode.USAGE;
    }
    if (options.get().words().isEmpty()) {
      err.println("chicorylane: " + name() + " takes the name of a server");
      return ExitCode.USAGE;
    }
    String path =
        "/v1/servers/"
            + OperatorClient.segment(options.get().line().getOptionValue("group"))
            + "/"
            + OperatorClient.segment(options.get().words().get(0))
            + "/"
            + action.word;
    OperatorReply reply = options.get().client().send("POST", path, "");
    return OperatorPrinter.change(reply, options.get().json(), out, err);
  }
}
