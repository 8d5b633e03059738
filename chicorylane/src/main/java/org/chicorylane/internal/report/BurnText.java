package org.chicorylane.internal.report;

import java.time.Duration;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.Locale;

/** How numbers and times read in reports. Stateless and thread-safe. */
final class BurnText {
  private BurnText() {}

  static String percent(double share) {
    return String.format(Locale.ROOT, "%.2f %%", share * 100);
  }

  static String target(double share) {
    return String.format(Locale.ROOT, "%.4g %%", share * 100);
  }

  static String rate(double burnRate) {
    return String.format(Locale.ROOT, "%.2f", burnRate);
  }

  static String seconds(Duration duration) {
    return String.format(Locale.ROOT, "%.3f s", duration.toMillis() / 1000.0);
  }

  /** Returns a window in its largest whole unit, such as {@code 6 h}. */
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

  static String time(Instant time) {
    return time.truncatedTo(ChronoUnit.SECONDS).toString();
  }

  static String alert(AlertLevel level) {
    return level.name().toLowerCase(Locale.ROOT).replace('_', ' ');
  }

  /** Returns what the history can say of a declared window. */
  static String budgetWindow(ObjectiveBurn objective) {
    String covered = window(objective.budgetWindow());
    return objective.budgetWindow().equals(objective.declaredWindow())
        ? covered
        : covered + " of " + window(objective.declaredWindow());
  }
}
