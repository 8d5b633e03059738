package org.chicorylane.internal.command;

import com.google.gson.JsonObject;
import java.io.PrintStream;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.Options;

/** The {@code status} command: prints the revision in force on each live instance. */
public final class StatusCommand implements Command {
  private static final String HELP =
      """
        --operator URL   any instance, http://127.0.0.1:7403 by default
        --token TOKEN    the operators' token, environment CHICORYLANE_TOKEN by default
        --output FORMAT  table (default) or json
        --by NAME        who makes the change, the user's name at the system by default
      example: chicorylane status
      """;

  @Override
  public String name() {
    return "status";
  }

  @Override
  public String summary() {
    return "print which revision each instance runs";
  }

  @Override
  public String help() {
    return HELP;
  }

  @Override
  public ExitCode run(List<String> arguments, PrintStream out, PrintStream err) {
    Optional<OperatorOptions> options = OperatorOptions.read(new Options(), 0, arguments, err);
    if (options.isEmpty()) {
      return ExitCode.USAGE;
    }
    OperatorReply reply = options.get().client().send("GET", "/v1/status", "");
    if (!(reply instanceof OperatorReply.Answered answered) || !answered.isOk()) {
      return OperatorPrinter.printFailure(reply, err);
    }
    if (options.get().printsJson()) {
      OperatorPrinter.printJson(out, answered.body());
    } else {
      print(answered.body(), out);
    }
    return ExitCode.OK;
  }

  /** Prints a status as a table. */
  static void print(JsonObject status, PrintStream out) {
    boolean reachable = status.get("storeReachable").getAsBoolean();
    out.println(
        reachable
            ? "declared revision " + OperatorPrinter.getText(status, "declaredRevision")
            : "the store is not reachable: " + OperatorPrinter.getText(status, "storeProblem"));
    String rowFormat = "%-20s %-16s %-8s %8s  %s%n";
    out.printf(rowFormat, "INSTANCE", "ZONE", "MEMBER", "REVISION", "BEHIND");
    for (JsonObject instance : OperatorPrinter.getObjects(status, "instances")) {
      out.printf(
          rowFormat,
          OperatorPrinter.getText(instance, "instance"),
          OperatorPrinter.getText(instance, "availabilityZone"),
          OperatorPrinter.getText(instance, "member"),
          OperatorPrinter.getText(instance, "revision"),
          instance.has("reason") ? OperatorPrinter.getText(instance, "reason") : "no");
    }
  }
}
