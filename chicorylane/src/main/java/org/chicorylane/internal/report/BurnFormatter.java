package org.chicorylane.internal.report;

import java.time.Duration;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.Locale;

/** Formats numbers, times and windows for reports. Stateless and thread-safe. */
final class BurnFormatter {
  private BurnFormatter() {}

  /** Returns a share as a percentage with two decimals. */
  static String percent(double share) {
    return String.format(Locale.ROOT, "%.2f %%", share * 100);
  }

  /** Returns an objective's target as a percentage with four significant digits. */
  static String target(double share) {
    return String.format(Locale.ROOT, "%.4g %%", share * 100);
  }

  /** Returns a burn rate with two decimals. */
  static String rate(double burnRate) {
    return String.format(Locale.ROOT, "%.2f", burnRate);
  }

  /** Returns a duration in seconds, with milliseconds. */
  static String seconds(Duration duration) {
    return String.format(Locale.ROOT, "%.3f s", duration.toMillis() / 1000.0);
  }

  /**
   * Returns a window as a whole number of the largest possible unit from days to minutes, such as
   * {@code 6 h}, or else in seconds.
   */
  static String window(Duration window) {
    if (window.toMillis() % Duration.ofDays(1).toMillis() == 0) {
      return window.toDays() + " d";
    }
    if (window.toMillis() % Duration.ofHours(1).toMillis() == 0) {
      return window.toHours() + " h";
    }
    return window.toMillis() % Duration.ofMinutes(1).toMillis() == 0
        ? window.toMinutes() + " min"
        : seconds(window);
  }

  /** Returns a time in ISO 8601, to the second. */
  static String time(Instant time) {
    return time.truncatedTo(ChronoUnit.SECONDS).toString();
  }

  /** Returns an alert level in lower-case words, such as {@code page fast}. */
  static String alert(AlertLevel level) {
    return level.name().toLowerCase(Locale.ROOT).replace('_', ' ');
  }

  /**
   * Returns the window that the budget covers, followed by the declared window if the counts do not
   * reach back that far, such as {@code 3 d of 30 d}.
   */
  static String budgetWindow(ObjectiveBurn objective) {
    String covered = window(objective.budgetWindow());
    return objective.budgetWindow().equals(objective.declaredWindow())
        ? covered
        : covered + " of " + window(objective.declaredWindow());
  }
}
