package org.chicorylane.internal.command;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.chicorylane.Settings;
import org.chicorylane.SettingsReader;
import org.chicorylane.SettingsResult;

/** The {@code check} command: checks a settings file and prints all errors in it. */
public final class CheckCommand implements Command {
  private static final String HELP =
      """
        --settings FILE  the settings to check; required
      example: chicorylane check --settings config/example/instance-1.json
      """;

  @Override
  public String name() {
    return "check";
  }

  @Override
  public String summary() {
    return "check a settings file: --settings FILE";
  }

  @Override
  public String help() {
    return HELP;
  }

  @Override
  public ExitCode run(List<String> arguments, PrintStream out, PrintStream err) {
    Optional<Settings> settings = readSettings(arguments, err);
    settings.ifPresent(s -> out.println("no findings: " + s));
    return settings.isPresent() ? ExitCode.OK : ExitCode.USAGE;
  }

  /**
   * Returns the settings in the file that {@code --settings} gives. If they are not valid, prints
   * the errors and returns empty.
   */
  static Optional<Settings> readSettings(List<String> arguments, PrintStream err) {
    Options options =
        new Options()
            .addOption(
                Option.builder().longOpt("settings").hasArg().argName("FILE").required().get());
    Optional<CommandLine> line = OptionReader.read(options, arguments, err);
    if (line.isEmpty()) {
      return Optional.empty();
    }
    SettingsResult result = SettingsReader.readFile(Path.of(line.get().getOptionValue("settings")));
    if (result instanceof SettingsResult.Valid valid) {
      return Optional.of(valid.settings());
    }
    ((SettingsResult.Invalid) result).findings().forEach(f -> err.println(f.toLine()));
    return Optional.empty();
  }
}
