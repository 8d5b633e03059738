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
 * Waits until every live instance runs what is declared.
 *
 * <p>An instance that has just started knows of no others yet; {@code --instances} says how many
 * must be there.
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
    Options own =
        new Options()
            .addOption(Option.builder().longOpt("for").hasArg().argName("WHAT").required().get())
            .addOption(OperatorOptions.value("timeout", "SECONDS"))
            .addOption(OperatorOptions.value("instances", "N"));
    Optional<OperatorOptions> options = OperatorOptions.read(own, 0, arguments, err);
    if (options.isEmpty()) {
      return ExitCode.USAGE;
    }
    String what = options.get().line().getOptionValue("for");
    if (!what.equals(IN_FORCE)) {
      err.println("chicorylane: --for takes " + IN_FORCE + ", not \"" + what + "\"");
      return ExitCode.USAGE;
    }
    try {
      CommandLine line = options.get().line();
      int seconds =
          OptionReader.number(line, "timeout", DEFAULT_TIMEOUT_SECONDS, 0, MAXIMUM_TIMEOUT_SECONDS);
      int instances = OptionReader.number(line, "instances", 1, 1, MAXIMUM_INSTANCES);
      return await(options.get(), Duration.ofSeconds(seconds), instances, out, err);
    } catch (IllegalArgumentException e) {
      err.println("chicorylane: " + e.getMessage());
      return ExitCode.USAGE;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return ExitCode.NEGATIVE;
    }
  }

  private static ExitCode await(
      OperatorOptions options, Duration timeout, int instances, PrintStream out, PrintStream err)
      throws InterruptedException {
    long deadline = System.nanoTime() + timeout.toNanos();
    while (true) {
      OperatorReply reply = options.client().send("GET", "/v1/status", "");
      boolean last = System.nanoTime() >= deadline;
      if (reply instanceof OperatorReply.Answered answered && answered.ok()) {
        if (inForce(answered.body(), instances)) {
          print(answered.body(), options.json(), out);
          return ExitCode.OK;
        }
        if (last) {
          print(answered.body(), options.json(), out);
          err.println("chicorylane: not in force everywhere within " + timeout.toSeconds() + " s");
          return ExitCode.NEGATIVE;
        }
      } else if (last || reply instanceof OperatorReply.Answered) {
        return OperatorPrinter.failure(reply, err);
      }
      pause();
    }
  }

  /** A store that cannot be asked may hold a newer revision, so that nothing is sure. */
  private static boolean inForce(JsonObject status, int instances) {
    List<JsonObject> live = OperatorPrinter.objects(status, "instances");
    return status.get("storeReachable").getAsBoolean()
        && live.size() >= instances
        && live.stream().noneMatch(i -> i.get("behind").getAsBoolean());
  }

  private static void print(JsonObject status, boolean json, PrintStream out) {
    if (json) {
      OperatorPrinter.json(out, status);
    } else {
      StatusCommand.print(status, out);
    }
  }

  private static void pause() throws InterruptedException {
    boolean ended = new CountDownLatch(1).await(POLL_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    assert !ended;
  }
}
