package org.chicorylane.internal.command;

import java.io.PrintStream;
import java.net.URI;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/**
 * The options that all operators' commands take, read.
 *
 * <pre>{@code
 * Optional<OperatorOptions> options = OperatorOptions.read(new Options(), 2, arguments, err);
 * }</pre>
 *
 * <p>Immutable and thread-safe.
 *
 * @param line all options
 * @param client reaches the instance
 * @param json whether results are printed as JSON
 */
record OperatorOptions(CommandLine line, OperatorClient client, boolean json) {
  static final String DEFAULT_URL = "http://127.0.0.1:7403";
  static final String TOKEN_VARIABLE = "CHICORYLANE_TOKEN";

  /**
   * Returns the options, or nothing after a complaint.
   *
   * @param own the options of the command itself; extended here
   * @param words how many words without an option the command takes at most
   */
  static Optional<OperatorOptions> read(
      Options own, int words, List<String> arguments, PrintStream err) {
    own.addOption(value("operator", "URL"))
        .addOption(value("token", "TOKEN"))
        .addOption(value("output", "FORMAT"))
        .addOption(value("by", "NAME"));
    Optional<CommandLine> line = OptionReader.read(own, arguments, err);
    return line.flatMap(l -> of(l, words, err));
  }

  /** Returns an option with one value. */
  static Option value(String name, String valueName) {
    return Option.builder().longOpt(name).hasArg().argName(valueName).get();
  }

  /** Returns the words without an option. */
  List<String> words() {
    return line.getArgList();
  }

  private static Optional<OperatorOptions> of(CommandLine line, int words, PrintStream err) {
    if (line.getArgList().size() > words) {
      return complain(err, "unexpected \"" + line.getArgList().get(words) + "\"");
    }
    String output = line.getOptionValue("output", "table");
    if (!List.of("json", "table").contains(output)) {
      return complain(err, "--output takes json or table, not \"" + output + "\"");
    }
    String token = line.getOptionValue("token", System.getenv(TOKEN_VARIABLE));
    if (token == null || token.isEmpty()) {
      return complain(err, "no token: give --token or set " + TOKEN_VARIABLE);
    }
    String url = line.getOptionValue("operator", DEFAULT_URL);
    Optional<URI> base = parse(url);
    if (base.isEmpty()) {
      return complain(err, "--operator takes an http URL, not \"" + url + "\"");
    }
    String by = line.getOptionValue("by", System.getProperty("user.name", "unnamed"));
    return Optional.of(
        new OperatorOptions(
            line, new OperatorClient(base.get(), token, by), output.equals("json")));
  }

  private static Optional<URI> parse(String url) {
    try {
      URI uri = URI.create(url);
      boolean usable = uri.getHost() != null && List.of("http", "https").contains(uri.getScheme());
      return usable ? Optional.of(uri) : Optional.empty();
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private static Optional<OperatorOptions> complain(PrintStream err, String complaint) {
    err.println("chicorylane: " + complaint);
    return Optional.empty();
  }
}
