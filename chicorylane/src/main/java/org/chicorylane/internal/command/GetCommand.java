package org.chicorylane.internal.command;

import com.google.gson.JsonObject;
import java.io.PrintStream;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.Options;

/** The {@code get} command: prints declared documents. */
public final class GetCommand implements Command {

  private static final String HELP =
      """
        KIND             only documents of this kind
        NAME             only this one
        --operator URL   any instance, http://127.0.0.1:7403 by default
        --token TOKEN    the operators' token, environment CHICORYLANE_TOKEN by default
        --output FORMAT  table (default) or json
        --by NAME        who makes the change, the user's name at the system by default
      example: chicorylane get ReadClass lookup
      """;

  private static final int KIND_AND_NAME = 2;

  @Override
  public String name() {
    return "get";
  }

  @Override
  public String summary() {
    return "print what is declared: [KIND [NAME]]";
  }

  @Override
  public String help() {
    return HELP;
  }

  @Override
  public ExitCode run(List<String> arguments, PrintStream out, PrintStream err) {
    Optional<OperatorOptions> options =
        OperatorOptions.read(new Options(), KIND_AND_NAME, arguments, err);
    if (options.isEmpty()) {
      return ExitCode.USAGE;
    }
    StringBuilder path = new StringBuilder("/v1/resources");
    options
        .get()
        .positionalArguments()
        .forEach(w -> path.append('/').append(OperatorClient.encodeSegment(w)));
    OperatorReply reply = options.get().client().send("GET", path.toString(), "");
    if (!(reply instanceof OperatorReply.Answered answered) || !answered.isOk()) {
      return OperatorPrinter.printFailure(reply, err);
    }
    if (options.get().printsJson() || options.get().positionalArguments().size() == KIND_AND_NAME) {
      OperatorPrinter.printJson(out, answered.body());
      return ExitCode.OK;
    }
    String rowFormat = "%-22s %-20s %8s  %-18s %s%n";
    out.printf(rowFormat, "KIND", "NAME", "VERSION", "HERE", "CHANGED BY");
    for (JsonObject document : OperatorPrinter.getObjects(answered.body(), "documents")) {
      JsonObject metadata = OperatorPrinter.getObject(document, "metadata");
      JsonObject condition =
          OperatorPrinter.getObjects(OperatorPrinter.getObject(document, "status"), "conditions")
              .get(0);
      out.printf(
          rowFormat,
          OperatorPrinter.getText(document, "kind"),
          OperatorPrinter.getText(metadata, "name"),
          OperatorPrinter.getText(metadata, "resourceVersion"),
          OperatorPrinter.getText(condition, "reason"),
          OperatorPrinter.getText(metadata, "changedBy"));
    }
    return ExitCode.OK;
  }
}
