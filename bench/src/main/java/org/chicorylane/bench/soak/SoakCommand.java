package org.chicorylane.bench.soak;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.chicorylane.internal.command.Command;
import org.chicorylane.internal.command.ExitCode;
import org.chicorylane.internal.command.OptionReader;

/** The {@code soak} command: runs instance processes under drawn faults and checks the rules. */
public final class SoakCommand implements Command {

  private static final String HELP =
      """
        --seed N         of all that is drawn, 1 by default; every fifth has planned work only
        --seconds N      how long faults are injected, 60 by default
        --instances N    how many processes, 4 by default
        --groups N       how many database groups, 2 by default
        --sessions N     how many for each route, 2 by default
        --without FAULTS names of faults that are not injected, separated by commas
        --jar FILE       the instances' program, target/chicorylane-platform.jar by default
        --logs DIRECTORY for logs and settings, target/soak/seed-N by default
      example: chicorylane soak --seed 7 --seconds 60
      """;

  private static final int DEFAULT_SECONDS = 60;
  private static final int MAX_SECONDS = 36_000;
  private static final int DEFAULT_INSTANCES = 4;
  private static final int MAX_INSTANCES = 10;
  private static final int DEFAULT_GROUPS = 2;
  private static final int MAX_GROUPS = 10;
  private static final int DEFAULT_SESSIONS = 2;
  private static final int MAX_SESSIONS = 20;

  @Override
  public String name() {
    return "soak";
  }

  @Override
  public String summary() {
    return "run instance processes under faults and check what clients were told";
  }

  @Override
  public String help() {
    return HELP;
  }

  @Override
  public ExitCode run(List<String> arguments, PrintStream out, PrintStream err) {
    Options options = new Options();
    List.of("seed", "seconds", "instances", "groups", "sessions", "without", "jar", "logs")
        .forEach(o -> options.addOption(Option.builder().longOpt(o).hasArg().get()));
    Optional<CommandLine> line = OptionReader.read(options, arguments, err);
    if (line.isEmpty()) {
      return ExitCode.USAGE;
    }
    if (!line.get().getArgList().isEmpty()) {
      err.println("chicorylane: soak takes no \"" + line.get().getArgList().get(0) + "\"");
      return ExitCode.USAGE;
    }
    try {
      SoakOptions read = read(line.get());
      return print(read, new SoakRun(read).run(), out);
    } catch (IllegalArgumentException e) {
      err.println("chicorylane: " + e.getMessage());
      return ExitCode.USAGE;
    } catch (IOException e) {
      err.println("chicorylane: the soak could not run: " + e.getMessage());
      return ExitCode.UNAVAILABLE;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return ExitCode.NEGATIVE;
    }
  }

  private static SoakOptions read(CommandLine line) {
    final int seed = OptionReader.number(line, "seed", 1, 0, Integer.MAX_VALUE);
    List<String> command = new ArrayList<>();
    command.add("java");
    command.addAll(SoakOptions.JAVA_OPTIONS);
    command.add("-jar");
    command.add(line.getOptionValue("jar", "target/chicorylane-platform.jar"));
    command.add("serve");
    return new SoakOptions(
        seed,
        OptionReader.number(line, "seconds", DEFAULT_SECONDS, 1, MAX_SECONDS),
        OptionReader.number(line, "instances", DEFAULT_INSTANCES, 1, MAX_INSTANCES),
        OptionReader.number(line, "groups", DEFAULT_GROUPS, 1, MAX_GROUPS),
        OptionReader.number(line, "sessions", DEFAULT_SESSIONS, 1, MAX_SESSIONS),
        readFaults(line.getOptionValue("without", "")),
        command,
        Path.of(line.getOptionValue("logs", "target/soak/seed-" + seed)));
  }

  /** Reads names of faults; an unknown one is an {@code IllegalArgumentException}. */
  private static Set<Fault> readFaults(String names) {
    return Stream.of(names.split(",", -1))
        .filter(n -> !n.isEmpty())
        .map(Fault::valueOf)
        .collect(Collectors.toUnmodifiableSet());
  }

  private static ExitCode print(SoakOptions options, SoakRun.Result result, PrintStream out) {
    if (!result.violations().isEmpty()) {
      result.timeline().forEach(out::println);
      out.println("broken rules:");
      result.violations().forEach(v -> out.println("  " + v));
    }
    out.printf(
        "seed %d: %s, %d commits acknowledged, %d promotions called, logs in %s%n",
        options.seed(),
        result.violations().isEmpty() ? "no rule broken" : "RULES BROKEN",
        result.acknowledged(),
        result.promotions(),
        options.logs());
    return result.violations().isEmpty() ? ExitCode.OK : ExitCode.NEGATIVE;
  }
}
