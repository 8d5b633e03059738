package org.chicorylane.internal.command;

import com.google.gson.JsonObject;
import java.io.PrintStream;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.Options;

/** Prints which revision each live instance runs. */
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
    if (!(reply instanceof OperatorReply.Answered answered) || !answered.ok()) {
      return OperatorPrinter.failure(reply, err);
    }
    if (options.get().json()) {
      OperatorPrinter.json(out, answered.body());
    } else {
      print(answered.body(), out);
    }
    return ExitCode.OK;
  }

  /** Prints a status for people. */
  static void print(JsonObject status, PrintStream out) {
    boolean reachable = status.get("storeReachable").getAsBoolean();
    out.println(
        reachable
            ? "declared revision " + OperatorPrinter.text(status, "declaredRevision")
            : "the store is not reachable: " + OperatorPrinter.text(status, "storeProblem"));
    String row = "%-20s %-16s %-8s %8s  %s%n";
    out.printf(row, "INSTANCE", "ZONE", "MEMBER", "REVISION", "BEHIND");
    for (JsonObject instance : OperatorPrinter.objects(status, "instances")) {
      out.printf(
          row,
          OperatorPrinter.text(instance, "instance"),
          OperatorPrinter.text(instance, "availabilityZone"),
          OperatorPrinter.text(instance, "member"),
          OperatorPrinter.text(instance, "revision"),
          instance.has("reason") ? OperatorPrinter.text(instance, "reason") : "no");
    }
  }
}
