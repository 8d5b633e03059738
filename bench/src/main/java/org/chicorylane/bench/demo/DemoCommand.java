package org.chicorylane.bench.demo;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.chicorylane.internal.command.Command;
import org.chicorylane.internal.command.ExitCode;
import org.chicorylane.internal.command.OptionReader;

/** The {@code demo} command: runs the whole system in one process and audits its answers. */
public final class DemoCommand implements Command {

  private static final String HELP =
      """
        --seconds N      how long, 15 by default
        --instances N    how many, 3 by default
        --seed N         of all that is drawn, 1 by default
        --kill-primary   kills the primary half way
        --json           prints the result as JSON
        --verbose        shows the instances' log
      example: chicorylane demo --seconds 15 --json
      """;

  private static final int DEFAULT_SECONDS = 15;
  private static final int MAX_SECONDS = 3600;
  private static final int DEFAULT_INSTANCES = 3;
  private static final int MAX_INSTANCES = 16;
  private static final int DEFAULT_SEED = 1;

  @Override
  public String name() {
    return "demo";
  }

  @Override
  public String summary() {
    return "run everything in one program:"
        + " [--seconds N] [--instances N] [--kill-primary] [--json] [--seed N] [--verbose]";
  }

  @Override
  public String help() {
    return HELP;
  }

  @Override
  public ExitCode run(List<String> arguments, PrintStream out, PrintStream err) {
    Options options =
        new Options()
            .addOption(Option.builder().longOpt("seconds").hasArg().get())
            .addOption(Option.builder().longOpt("instances").hasArg().get())
            .addOption(Option.builder().longOpt("seed").hasArg().get())
            .addOption(Option.builder().longOpt("kill-primary").get())
            .addOption(Option.builder().longOpt("verbose").get())
            .addOption(Option.builder().longOpt("json").get());
    Optional<CommandLine> line = OptionReader.read(options, arguments, err);
    if (line.isEmpty()) {
      return ExitCode.USAGE;
    }
    if (!line.get().getArgList().isEmpty()) {
      err.println("chicorylane: demo takes no \"" + line.get().getArgList().get(0) + "\"");
      return ExitCode.USAGE;
    }
    System.setProperty("tinylog.level", line.get().hasOption("verbose") ? "info" : "error");
    try {
      DemoSummary summary = new DemoRun(read(line.get()), out).run();
      print(summary, line.get().hasOption("json"), out);
      return summary.guaranteesHeld() ? ExitCode.OK : ExitCode.NEGATIVE;
    } catch (IllegalArgumentException e) {
      err.println("chicorylane: " + e.getMessage());
      return ExitCode.USAGE;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return ExitCode.NEGATIVE;
    }
  }

  private static DemoOptions read(CommandLine line) {
    return new DemoOptions(
        OptionReader.number(line, "seconds", DEFAULT_SECONDS, 1, MAX_SECONDS),
        OptionReader.number(line, "instances", DEFAULT_INSTANCES, 1, MAX_INSTANCES),
        line.hasOption("kill-primary"),
        OptionReader.number(line, "seed", DEFAULT_SEED, 0, Integer.MAX_VALUE));
  }

  private static void print(DemoSummary s, boolean json, PrintStream out) {
    if (json) {
      out.println(s.toJson());
      return;
    }
    out.printf(
        Locale.ROOT,
        "reads: %d, %.1f %% from replicas, %d stale, %d mixed%n",
        s.reads(),
        100 * s.replicaReadShare(),
        s.staleReads(),
        s.mixedAnswers());
    out.printf(
        Locale.ROOT,
        "writes: %d acknowledged, %d lost, %d doubled, %d not run but ran, %d unresolved%n",
        s.writesAcknowledged(),
        s.writesLost(),
        s.writesDoubled(),
        s.notRunButRan(),
        s.writesUnresolved());
    out.printf(Locale.ROOT, "latency: p50 %.1f ms, p99 %.1f ms%n", s.p50Millis(), s.p99Millis());
    if (s.failoverGapMillis() != null) {
      out.println("failover gap: " + s.failoverGapMillis() + " ms");
    }
    out.println(s.guaranteesHeld() ? "every promise held" : "A PROMISE WAS BROKEN");
  }
}
