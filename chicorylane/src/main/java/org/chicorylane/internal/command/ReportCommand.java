package org.chicorylane.internal.command;

import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.chicorylane.internal.report.BurnJson;
import org.chicorylane.internal.report.BurnPage;
import org.chicorylane.internal.report.BurnReport;
import org.chicorylane.internal.report.BurnTable;
import org.jspecify.annotations.Nullable;

/**
 * The {@code report} command: fetches the burn report of each given instance and prints them merged
 * into one.
 *
 * <pre>{@code
 * report burn --operator http://127.0.0.1:7403 --operator http://127.0.0.2:7403 --output html
 * }</pre>
 *
 * <p>Prints a report only if all instances answer, so that it never covers fewer than requested.
 */
public final class ReportCommand implements Command {

  private static final String HELP =
      """
        burn             the report: how fast each objective uses up its budget
        --operator URL   an instance, may be repeated; http://127.0.0.1:7403 by default
        --token TOKEN    the operators' token, environment CHICORYLANE_TOKEN by default
        --output FORMAT  table (default), json or html
        --file FILE      where to write, standard output by default
      example: chicorylane report burn --output html --file burn.html
      """;

  private static final Duration FETCH_TIMEOUT = Duration.ofSeconds(10);
  private static final int HTTP_OK = 200;

  @Override
  public String name() {
    return "report";
  }

  @Override
  public String summary() {
    return "service-level burn: burn [--operator URL]... [--token T]"
        + " [--output table|json|html] [--file FILE]";
  }

  @Override
  public String help() {
    return HELP;
  }

  @Override
  public ExitCode run(List<String> arguments, PrintStream out, PrintStream err) {
    if (arguments.isEmpty() || !arguments.get(0).equals("burn")) {
      err.println("chicorylane: usage: report " + summary().substring(summary().indexOf(':') + 2));
      return ExitCode.USAGE;
    }
    Optional<CommandLine> line =
        OptionReader.read(newOptions(), arguments.subList(1, arguments.size()), err);
    return line.map(l -> fetchAndPrint(l, out, err)).orElse(ExitCode.USAGE);
  }

  private static Options newOptions() {
    return new Options()
        .addOption(Option.builder().longOpt("operator").hasArg().argName("URL").get())
        .addOption(Option.builder().longOpt("token").hasArg().argName("T").get())
        .addOption(Option.builder().longOpt("output").hasArg().argName("FORMAT").get())
        .addOption(Option.builder().longOpt("file").hasArg().argName("FILE").get());
  }

  private static ExitCode fetchAndPrint(CommandLine line, PrintStream out, PrintStream err) {
    Optional<Output> output = Output.parse(line.getOptionValue("output", "table"));
    if (output.isEmpty()) {
      err.println(
          "chicorylane: --output takes table, json or html, not \""
              + line.getOptionValue("output")
              + "\"");
      return ExitCode.USAGE;
    }
    String[] urls = line.getOptionValues("operator");
    List<String> operators = urls == null ? List.of(OperatorOptions.DEFAULT_URL) : List.of(urls);
    BurnReport merged = null;
    HttpClient client = HttpClient.newBuilder().connectTimeout(FETCH_TIMEOUT).build();
    for (String operator : operators.stream().distinct().toList()) {
      Optional<BurnReport> report = fetch(client, operator, getToken(line), err);
      if (report.isEmpty()) {
        return ExitCode.UNAVAILABLE;
      }
      merged = merged == null ? report.get() : merged.merge(report.get());
    }
    return merged == null
        ? ExitCode.USAGE
        : write(output.get().render(merged), line.getOptionValue("file"), out, err);
  }

  /** Returns the token from the command line or the environment; null if neither is set. */
  private static @Nullable String getToken(CommandLine line) {
    String token = line.getOptionValue("token");
    return token == null ? System.getenv(OperatorOptions.TOKEN_VARIABLE) : token;
  }

  private static Optional<BurnReport> fetch(
      HttpClient client, String operator, @Nullable String token, PrintStream err) {
    try {
      HttpRequest.Builder request =
          HttpRequest.newBuilder(URI.create(operator.replaceAll("/+$", "") + "/v1/report/burn"))
              .timeout(FETCH_TIMEOUT);
      if (token != null) {
        request.header("Authorization", "Bearer " + token);
      }
      HttpResponse<String> response =
          client.send(request.build(), HttpResponse.BodyHandlers.ofString());
      if (response.statusCode() != HTTP_OK) {
        err.println("chicorylane: " + operator + " answered " + response.statusCode());
        return Optional.empty();
      }
      Optional<BurnReport> report = BurnJson.read(response.body());
      if (report.isEmpty()) {
        err.println("chicorylane: " + operator + " answered something that is no burn report");
      }
      return report;
    } catch (IOException | IllegalArgumentException e) {
      err.println("chicorylane: " + operator + " could not be asked: " + e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      err.println("chicorylane: interrupted while asking " + operator);
    }
    return Optional.empty();
  }

  private static ExitCode write(
      String text, @Nullable String file, PrintStream out, PrintStream err) {
    if (file == null) {
      out.print(text);
      return ExitCode.OK;
    }
    try {
      Files.writeString(Path.of(file), text);
      return ExitCode.OK;
    } catch (IOException | InvalidPathException e) {
      err.println("chicorylane: file \"" + file + "\" could not be written: " + e);
      return ExitCode.USAGE;
    }
  }

  private enum Output {
    TABLE {
      @Override
      String render(BurnReport report) {
        return BurnTable.render(report);
      }
    },
    JSON {
      @Override
      String render(BurnReport report) {
        return BurnJson.write(report) + "\n";
      }
    },
    HTML {
      @Override
      String render(BurnReport report) {
        return BurnPage.render(report);
      }
    };

    abstract String render(BurnReport report);

    static Optional<Output> parse(String name) {
      for (Output output : values()) {
        if (output.name().toLowerCase(Locale.ROOT).equals(name)) {
          return Optional.of(output);
        }
      }
      return Optional.empty();
    }
  }
}
