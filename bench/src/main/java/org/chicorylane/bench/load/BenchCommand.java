package org.chicorylane.bench.load;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.chicorylane.bench.day.ExplainDay;
import org.chicorylane.internal.command.Command;
import org.chicorylane.internal.command.ExitCode;
import org.chicorylane.internal.command.OptionReader;

/**
 * The {@code bench} command: measures the system over real sockets, with stand-ins for the platform
 * and the databases.
 *
 * <pre>{@code
 * chicorylane bench failover --runs 5 --fault kill --file failover.json --plot failover.png
 * }</pre>
 *
 * <p>Callers, instances and stand-ins share one process and one computer, so ratios within a run
 * are more meaningful than absolute figures.
 */
public final class BenchCommand implements Command {

  private static final String HELP =
      """
        NAME             what to measure
        --seconds N      how long; its own default
        --sessions N     callers, 8 by default
        --runs N         repetitions, 5 by default
        --fault FAULT    kill (default), freeze or partition
        --seed N         of all that is drawn, 1 by default
        --file FILE      where to write the result as JSON
        --plot FILE      where to write a plot
      example: chicorylane bench failover --runs 2 --fault kill
      explain-day REPORT [LOG] [--csv FILE] [--plot FILE.svg]
                       tells where a played day lost credit
      """;

  private static final Gson GSON =
      new GsonBuilder().setPrettyPrinting().serializeSpecialFloatingPointValues().create();
  private static final int MAX_SECONDS = 600;
  private static final int DEFAULT_SESSIONS = 8;
  private static final int MAX_SESSIONS = 200;
  private static final int DEFAULT_RUNS = 5;
  private static final int MAX_RUNS = 100;

  @Override
  public String name() {
    return "bench";
  }

  @Override
  public String summary() {
    return "measure: "
        + Benchmark.names()
        + " [--seconds N] [--sessions N] [--runs N] [--fault kill|freeze|partition] [--seed N]"
        + " [--file FILE] [--plot FILE.png]";
  }

  @Override
  public String help() {
    return HELP;
  }

  @Override
  public ExitCode run(List<String> arguments, PrintStream out, PrintStream err) {
    if (!arguments.isEmpty() && arguments.get(0).equals(ExplainDay.NAME)) {
      return ExplainDay.run(arguments.subList(1, arguments.size()), out, err);
    }
    Options options = new Options();
    for (String name : List.of("seconds", "sessions", "runs", "fault", "seed", "file", "plot")) {
      options.addOption(Option.builder().longOpt(name).hasArg().get());
    }
    Optional<CommandLine> line = OptionReader.read(options, arguments, err);
    if (line.isEmpty()) {
      return ExitCode.USAGE;
    }
    List<String> words = line.get().getArgList();
    Optional<Benchmark> benchmark =
        words.size() == 1 ? Benchmark.of(words.get(0)) : Optional.empty();
    if (benchmark.isEmpty()) {
      err.println("chicorylane: bench takes one of " + Benchmark.names() + ", not " + words);
      return ExitCode.USAGE;
    }
    System.setProperty("tinylog.level", "error");
    try {
      measure(benchmark.get(), line.get(), String.join(" ", arguments), out);
      return ExitCode.OK;
    } catch (IllegalArgumentException e) {
      err.println("chicorylane: " + e.getMessage());
      return ExitCode.USAGE;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return ExitCode.NEGATIVE;
    }
  }

  private static void measure(
      Benchmark benchmark, CommandLine line, String arguments, PrintStream out)
      throws InterruptedException {
    final BenchOptions options =
        new BenchOptions(
            OptionReader.number(line, "seconds", benchmark.defaultSeconds(), 1, MAX_SECONDS),
            OptionReader.number(line, "sessions", DEFAULT_SESSIONS, 1, MAX_SESSIONS),
            OptionReader.number(line, "runs", DEFAULT_RUNS, 1, MAX_RUNS),
            PrimaryFault.of(line.getOptionValue("fault", "kill")),
            OptionReader.number(line, "seed", 1, 0, Integer.MAX_VALUE));
    LatencyPlot plot = new LatencyPlot(benchmark.text());
    final Instant start = Instant.now().truncatedTo(ChronoUnit.SECONDS);
    final double load = ProcessUsage.loadAverage();
    Object result = benchmark.run(options, plot);
    BenchReport report =
        new BenchReport(
            "bench " + arguments,
            start.toString(),
            Runtime.getRuntime().availableProcessors(),
            load,
            ProcessUsage.loadAverage(),
            result);
    String json = GSON.toJson(report);
    try {
      if (line.hasOption("file")) {
        Files.writeString(Path.of(line.getOptionValue("file")), json + "\n");
      } else {
        out.println(json);
      }
      if (line.hasOption("plot")) {
        plot.write(Path.of(line.getOptionValue("plot")));
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
