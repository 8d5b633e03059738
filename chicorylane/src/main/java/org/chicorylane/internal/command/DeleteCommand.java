package org.chicorylane.internal.command;

import java.io.PrintStream;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.Options;

/** Deletes a document, in the version that is there when the command begins or in a given one. */
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
    Options own = new Options().addOption(OperatorOptions.value("version", "VERSION"));
    Optional<OperatorOptions> options = OperatorOptions.read(own, KIND_AND_NAME, arguments, err);
    if (options.isEmpty()) {
      return ExitCode.USAGE;
    }
    List<String> words = options.get().words();
    if (words.size() < KIND_AND_NAME) {
      err.println("chicorylane: delete takes KIND and NAME");
      return ExitCode.USAGE;
    }
    OperatorClient client = options.get().client();
    String path =
        "/v1/resources/"
            + OperatorClient.segment(words.get(0))
            + "/"
            + OperatorClient.segment(words.get(1));
    String version = options.get().line().getOptionValue("version");
    if (version == null) {
      OperatorReply seen = client.send("GET", path, "");
      if (!(seen instanceof OperatorReply.Answered answered) || !answered.ok()) {
        return OperatorPrinter.failure(seen, err);
      }
      version = DeclaredDocuments.versionOf(answered.body()).orElse("");
    }
    String query = "?resourceVersion=" + OperatorClient.segment(version);
    OperatorReply reply = client.send("DELETE", path + query, "");
    return OperatorPrinter.change(reply, options.get().json(), out, err);
  }
}
