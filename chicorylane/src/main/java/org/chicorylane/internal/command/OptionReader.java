package org.chicorylane.internal.command;

import java.io.PrintStream;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Reads the options of a command, with one line of complaint where they are wrong. */
public final class OptionReader {
  private OptionReader() {}

  /** Returns the options, or nothing after a complaint that names the wrong one. */
  public static Optional<CommandLine> read(
      Options options, List<String> arguments, PrintStream err) {
    try {
      return Optional.of(
          DefaultParser.builder()
              .setAllowPartialMatching(false)
              .get()
              .parse(options, arguments.toArray(String[]::new)));
    } catch (ParseException e) {
      err.println("chicorylane: " + e.getMessage());
      return Optional.empty();
    }
  }

  /**
   * Returns the number that an option gives, or {@code fallback} without it.
   *
   * @throws IllegalArgumentException if the value is no number from {@code least} to {@code most}
   */
  public static int number(CommandLine line, String option, int fallback, int least, int most) {
    String text = line.getOptionValue(option);
    if (text == null) {
      return fallback;
    }
    try {
      int value = Integer.parseInt(text);
      if (value >= least && value <= most) {
        return value;
      }
    } catch (NumberFormatException e) {
      // The complaint below is the same for a text that is no number.
    }
    throw new IllegalArgumentException(
        "--" + option + " takes a number from " + least + " to " + most + ", not \"" + text + "\"");
  }
}
