package org.chicorylane.internal.command;

import java.io.PrintStream;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Parses the options of a command and prints a one-line error if they are invalid. */
public final class OptionReader {
  private OptionReader() {}

  /**
   * Returns the parsed options. If they are invalid, prints an error that names one and returns
   * empty.
   */
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
   * Returns the value of a numeric option, or {@code defaultValue} if the option is absent.
   *
   * @throws IllegalArgumentException if the value is not a whole number from {@code minimum} to
   *     {@code maximum}
   */
  public static int number(
      CommandLine line, String option, int defaultValue, int minimum, int maximum) {
    String text = line.getOptionValue(option);
    if (text == null) {
      return defaultValue;
    }
    try {
      int value = Integer.parseInt(text);
      if (value >= minimum && value <= maximum) {
        return value;
      }
    } catch (NumberFormatException e) {
      // A text that is not a number gets the same error as a number out of range.
    }
    throw new IllegalArgumentException(
        "--"
            + option
            + " takes a number from "
            + minimum
            + " to "
            + maximum
            + ", not \""
            + text
            + "\"");
  }
}
