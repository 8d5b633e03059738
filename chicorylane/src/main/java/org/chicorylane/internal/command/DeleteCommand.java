package org.chicorylane.internal.command;

import java.io.PrintStream;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.Options;

/**
 * The {@code delete} command: deletes one document, if it still has the given version or else the
 * version that it has when the command starts.
 */
public final class DeleteCommand implements Command {

  private static final String HELP =
      """
        KIND NAME        the document
        --version V      only if this is its version; any by default
        --operator URL   any instance, http://127.0.0.1:7403 by default
        --token TOKEN    the operators' token, environment CHICORYLANE_TOKEN by default
        --output FORMAT  table (default) or json
        --by NAME        who makes the change, the user's name at the system by default
      example: chicorylane delete ReadClass lookup
      """;

  private static final int KIND_AND_NAME = 2;

  @Override
  public String name() {
    return "delete";
  }

  @Override
  public String summary() {
    return "delete a document: KIND NAME [--version VERSION]";
  }

  @Override
  public String help() {
    return HELP;
  }

  @Override
  public ExitCode run(List<String> arguments, PrintStream out, PrintStream err) {
    Options commandOptions =
        new Options().addOption(OperatorOptions.newOption("version", "VERSION"));
    Optional<OperatorOptions> options =
        OperatorOptions.read(commandOptions, KIND_AND_NAME, arguments, err);
    if (options.isEmpty()) {
      return ExitCode.USAGE;
    }
    List<String> positionalArguments = options.get().positionalArguments();
    if (positionalArguments.size() < KIND_AND_NAME) {
      err.println("chicorylane: delete takes KIND and NAME");
      return ExitCode.USAGE;
    }
    OperatorClient client = options.get().client();
    String path =
        "/v1/resources/"
            + OperatorClient.encodeSegment(positionalArguments.get(0))
            + "/"
            + OperatorClient.encodeSegment(positionalArguments.get(1));
    String version = options.get().line().getOptionValue("version");
    if (version == null) {
      OperatorReply current = client.send("GET", path, "");
      if (!(current instanceof OperatorReply.Answered answered) || !answered.isOk()) {
        return OperatorPrinter.printFailure(current, err);
      }
      version = DeclaredDocuments.getVersion(answered.body()).orElse("");
    }
    String query = "?resourceVersion=" + OperatorClient.encodeSegment(version);
    OperatorReply reply = client.send("DELETE", path + query, "");
    return OperatorPrinter.printChange(reply, options.get().printsJson(), out, err);
  }
}
