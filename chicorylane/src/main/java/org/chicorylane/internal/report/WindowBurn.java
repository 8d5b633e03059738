package org.chicorylane.internal.report;

import java.time.Duration;
import java.util.Objects;

/**
 * How fast an error budget was spent over one window.
 *
 * <p>Immutable and thread-safe.
 *
 * @param window the window that ends with the report
 * @param counts the requests in it
 * @param burnRate 1 spends the budget exactly within the objective's window
 */
public record WindowBurn(Duration window, Counts counts, double burnRate) {

  /** Checks that nothing is missing. */
  public WindowBurn {
    Objects.requireNonNull(window, "window");
    Objects.requireNonNull(counts, "counts");
  }

  static WindowBurn of(Duration window, Counts counts, double target) {
    return new WindowBurn(window, counts, counts.burnRate(target));
  }
}
