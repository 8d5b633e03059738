package org.chicorylane.internal.report;

import java.time.Duration;
import java.util.Objects;

/**
 * The burn rate of an error budget over one window.
 *
 * <p>Immutable and thread-safe.
 *
 * @param window the window, which ends at the time of the report
 * @param counts the requests in the window
 * @param burnRate how many times faster than allowed the budget was spent; 1 spends it exactly
 *     within the objective's window
 */
public record WindowBurn(Duration window, Counts counts, double burnRate) {

  /** Checks that the window and the counts are not null. */
  public WindowBurn {
    Objects.requireNonNull(window, "window");
    Objects.requireNonNull(counts, "counts");
  }

  static WindowBurn of(Duration window, Counts counts, double target) {
    return new WindowBurn(window, counts, counts.burnRate(target));
  }
}
