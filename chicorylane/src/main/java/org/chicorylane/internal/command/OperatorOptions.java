package org.chicorylane.internal.command;

import java.io.PrintStream;
import java.net.URI;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/**
 * The parsed command line of an operator command, with the options that all of them share.
 *
 * <pre>{@code
 * Optional<OperatorOptions> options = OperatorOptions.read(new Options(), 2, arguments, err);
 * }</pre>
 *
 * <p>Immutable and thread-safe.
 *
 * @param line the command line, with the command's own options
 * @param client the client for the instance given by {@code --operator}
 * @param printsJson whether results are printed as JSON
 */
record OperatorOptions(CommandLine line, OperatorClient client, boolean printsJson) {
  static final String DEFAULT_URL = "http://127.0.0.1:7403";
  static final String TOKEN_VARIABLE = "CHICORYLANE_TOKEN";

  /**
   * Returns the options. If they are invalid, prints an error and returns empty.
   *
   * @param commandOptions the options of the command itself; the shared options are added to it
   * @param maximumPositional the maximum number of positional arguments
   */
  static Optional<OperatorOptions> read(
      Options commandOptions, int maximumPositional, List<String> arguments, PrintStream err) {
    commandOptions
        .addOption(newOption("operator", "URL"))
        .addOption(newOption("token", "TOKEN"))
        .addOption(newOption("output", "FORMAT"))
        .addOption(newOption("by", "NAME"));
    Optional<CommandLine> line = OptionReader.read(commandOptions, arguments, err);
    return line.flatMap(l -> of(l, maximumPositional, err));
  }

  /** Returns a new long option with one value. */
  static Option newOption(String name, String valueName) {
    return Option.builder().longOpt(name).hasArg().argName(valueName).get();
  }

  /** Returns the arguments that belong to no option. */
  List<String> positionalArguments() {
    return line.getArgList();
  }

  private static Optional<OperatorOptions> of(
      CommandLine line, int maximumPositional, PrintStream err) {
    if (line.getArgList().size() > maximumPositional) {
      return printError(err, "unexpected \"" + line.getArgList().get(maximumPositional) + "\"");
    }
    String output = line.getOptionValue("output", "table");
    if (!List.of("json", "table").contains(output)) {
      return printError(err, "--output takes json or table, not \"" + output + "\"");
    }
    String token = line.getOptionValue("token", System.getenv(TOKEN_VARIABLE));
    if (token == null || token.isEmpty()) {
      return printError(err, "no token: give --token or set " + TOKEN_VARIABLE);
    }
    String url = line.getOptionValue("operator", DEFAULT_URL);
    Optional<URI> baseUrl = parseUrl(url);
    if (baseUrl.isEmpty()) {
      return printError(err, "--operator takes an http URL, not \"" + url + "\"");
    }
    String changedBy = line.getOptionValue("by", System.getProperty("user.name", "unnamed"));
    return Optional.of(
        new OperatorOptions(
            line, new OperatorClient(baseUrl.get(), token, changedBy), output.equals("json")));
  }

  private static Optional<URI> parseUrl(String url) {
    try {
      URI uri = URI.create(url);
      boolean isHttpUrl =
          uri.getHost() != null && List.of("http", "https").contains(uri.getScheme());
      return isHttpUrl ? Optional.of(uri) : Optional.empty();
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private static Optional<OperatorOptions> printError(PrintStream err, String message) {
    err.println("chicorylane: " + message);
    return Optional.empty();
  }
}
