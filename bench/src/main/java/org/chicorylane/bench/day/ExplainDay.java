package org.chicorylane.bench.day;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.chicorylane.internal.command.ExitCode;
import org.chicorylane.internal.command.OptionReader;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.VectorGraphicsEncoder;

/**
 * Tells where a played day lost credit: its worst windows and prices from the report, and the
 * reasons of refusals and failures from the decision logs.
 *
 * <pre>{@code
 * chicorylane bench explain-day day.json day.log --csv losses.csv --plot losses.svg
 * }</pre>
 */
public final class ExplainDay {

  /** The word after {@code bench} that selects this. */
  public static final String NAME = "explain-day";

  private static final int MAX_WINDOWS = 8;
  private static final int MAX_REASONS = 20;
  private static final double MIN_PRICE = 0.0005;
  private static final int WIDTH_PIXELS = 900;
  private static final int HEIGHT_PIXELS = 400;

  private ExplainDay() {}

  /**
   * Runs the command.
   *
   * @param arguments the report's file, optionally the log's file, and options
   */
  public static ExitCode run(List<String> arguments, PrintStream out, PrintStream err) {
    Options options = new Options();
    List.of("csv", "plot")
        .forEach(o -> options.addOption(Option.builder().longOpt(o).hasArg().get()));
    Optional<CommandLine> line = OptionReader.read(options, arguments, err);
    List<String> files = line.map(CommandLine::getArgList).orElse(List.of());
    if (line.isEmpty() || files.isEmpty() || files.size() > 2) {
      err.println(
          "chicorylane: usage: bench explain-day REPORT [LOG] [--csv FILE] [--plot FILE.svg]");
      return ExitCode.USAGE;
    }
    try {
      DayReport report = DayReport.read(Path.of(files.get(0)));
      LossLog log = files.size() > 1 ? LossLog.read(Path.of(files.get(1))) : new LossLog();
      print(report, log, out);
      if (line.get().hasOption("csv")) {
        Files.writeString(Path.of(line.get().getOptionValue("csv")), log.toCsv());
      }
      if (line.get().hasOption("plot")) {
        plot(report, Path.of(line.get().getOptionValue("plot")));
      }
      return ExitCode.OK;
    } catch (IOException e) {
      err.println("chicorylane: " + e.getMessage());
      return ExitCode.USAGE;
    }
  }

  private static void print(DayReport report, LossLog log, PrintStream out) {
    out.printf("worth %.3f%n", report.worth());
    report.prices().entrySet().stream()
        .filter(p -> p.getValue() >= MIN_PRICE)
        .forEach(p -> out.printf("  -%.4f %s%n", p.getValue(), p.getKey()));
    out.println("from second  requests  in time  late  refused  failed  lost");
    report.windows().stream()
        .sorted(Comparator.comparingDouble(DayWindow::lostRequests).reversed())
        .limit(MAX_WINDOWS)
        .forEach(
            w ->
                out.printf(
                    "%11d %9d %8d %5d %8d %7d %5.0f%n",
                    w.startSecond(),
                    w.requests(),
                    w.inTime(),
                    w.late(),
                    w.refused(),
                    w.failed(),
                    w.lostRequests()));
    for (Map.Entry<LossLog.Cause, Integer> e : log.totals().stream().limit(MAX_REASONS).toList()) {
      LossLog.Cause c = e.getKey();
      out.printf("%6d %s %s %s: %s%n", e.getValue(), c.group(), c.kind(), c.outcome(), c.reason());
    }
  }

  private static void plot(DayReport report, Path file) throws IOException {
    CategoryChart chart =
        new CategoryChartBuilder()
            .width(WIDTH_PIXELS)
            .height(HEIGHT_PIXELS)
            .title("lost credit")
            .xAxisTitle("seconds")
            .yAxisTitle("requests")
            .build();
    chart.addSeries(
        "lost",
        report.windows().stream().map(DayWindow::startSecond).toList(),
        report.windows().stream().map(DayWindow::lostRequests).toList());
    VectorGraphicsEncoder.saveVectorGraphic(
        chart, file.toString(), VectorGraphicsEncoder.VectorGraphicsFormat.SVG);
  }
}
