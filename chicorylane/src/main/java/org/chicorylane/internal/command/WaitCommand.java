package org.chicorylane.internal.command;

import com.google.gson.JsonObject;
import java.io.PrintStream;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/**
 * The {@code wait} command: waits until the declared revision is in force on every live instance.
 *
 * <p>An instance that has just started has not discovered the others yet, so {@code --instances}
 * gives the number of live instances to wait for.
 */
public final class WaitCommand implements Command {

  private static final String HELP =
      """
        --for=in-force   what to wait for; required
        --timeout N      seconds, 60 by default
        --instances N    how many there must be, 1 by default
        --operator URL   any instance, http://127.0.0.1:7403 by default
        --token TOKEN    the operators' token, environment CHICORYLANE_TOKEN by default
        --output FORMAT  table (default) or json
        --by NAME        who makes the change, the user's name at the system by default
      example: chicorylane wait --for=in-force --instances 3
      """;

  private static final String IN_FORCE = "in-force";
  private static final int DEFAULT_TIMEOUT_SECONDS = 60;
  private static final int MAXIMUM_TIMEOUT_SECONDS = 86_400;
  private static final int MAXIMUM_INSTANCES = 1_000;
  private static final Duration POLL_INTERVAL = Duration.ofMillis(500);

  @Override
  public String name() {
    return "wait";
  }

  @Override
  public String summary() {
    return "wait until all run what is declared: --for in-force [--timeout SECONDS] "
        + "[--instances N]";
  }

  @Override
  public String help() {
    return HELP;
  }

  @Override
  public ExitCode run(List<String> arguments, PrintStream out, PrintStream err) {
    Options commandOptions =
        new Options()
            .addOption(Option.builder().longOpt("for").hasArg().argName("WHAT").required().get())
            .addOption(OperatorOptions.newOption("timeout", "SECONDS"))
            .addOption(OperatorOptions.newOption("instances", "N"));
    Optional<OperatorOptions> options = OperatorOptions.read(commandOptions, 0, arguments, err);
    if (options.isEmpty()) {
      return ExitCode.USAGE;
    }
    String condition = options.get().line().getOptionValue("for");
    if (!condition.equals(IN_FORCE)) {
      err.println("chicorylane: --for takes " + IN_FORCE + ", not \"" + condition + "\"");
      return ExitCode.USAGE;
    }
    try {
      CommandLine line = options.get().line();
      int seconds =
          OptionReader.number(line, "timeout", DEFAULT_TIMEOUT_SECONDS, 0, MAXIMUM_TIMEOUT_SECONDS);
      int minimumInstances = OptionReader.number(line, "instances", 1, 1, MAXIMUM_INSTANCES);
      return pollUntilInForce(
          options.get(), Duration.ofSeconds(seconds), minimumInstances, out, err);
    } catch (IllegalArgumentException e) {
      err.println("chicorylane: " + e.getMessage());
      return ExitCode.USAGE;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return ExitCode.NEGATIVE;
    }
  }

  private static ExitCode pollUntilInForce(
      OperatorOptions options,
      Duration timeout,
      int minimumInstances,
      PrintStream out,
      PrintStream err)
      throws InterruptedException {
    long deadline = System.nanoTime() + timeout.toNanos();
    while (true) {
      OperatorReply reply = options.client().send("GET", "/v1/status", "");
      boolean isLastPoll = System.nanoTime() >= deadline;
      if (reply instanceof OperatorReply.Answered answered && answered.isOk()) {
        if (isInForce(answered.body(), minimumInstances)) {
          print(answered.body(), options.printsJson(), out);
          return ExitCode.OK;
        }
        if (isLastPoll) {
          print(answered.body(), options.printsJson(), out);
          err.println("chicorylane: not in force everywhere within " + timeout.toSeconds() + " s");
          return ExitCode.NEGATIVE;
        }
      } else if (isLastPoll || reply instanceof OperatorReply.Answered) {
        return OperatorPrinter.printFailure(reply, err);
      }
      pauseBetweenPolls();
    }
  }

  /**
   * Returns whether enough instances are live and all of them run the declared revision. False
   * while the store is unreachable, because it may hold a newer revision.
   */
  private static boolean isInForce(JsonObject status, int minimumInstances) {
    List<JsonObject> live = OperatorPrinter.getObjects(status, "instances");
    return status.get("storeReachable").getAsBoolean()
        && live.size() >= minimumInstances
        && live.stream().noneMatch(i -> i.get("behind").getAsBoolean());
  }

  private static void print(JsonObject status, boolean asJson, PrintStream out) {
    if (asJson) {
      OperatorPrinter.printJson(out, status);
    } else {
      StatusCommand.print(status, out);
    }
  }

  private static void pauseBetweenPolls() throws InterruptedException {
    boolean released = new CountDownLatch(1).await(POLL_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    assert !released;
  }
}
