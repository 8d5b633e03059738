package org.chicorylane.internal.report;

import java.time.Duration;
import java.util.List;

/**
 * Alert levels over multiple windows and burn rates, as described in "Alerting on SLOs" in The Site
 * Reliability Workbook (Beyer et al., O'Reilly 2018, chapter 5).
 *
 * <p>A level fires while the burn rates over both its long and its short window reach the level's
 * rate. The short window makes it stop soon after the cause is gone. The rates are the workbook's
 * for an objective over 30 days: 2 % of the budget in 1 h, 5 % in 6 h, 10 % in 3 d.
 */
public enum AlertLevel {
  /** Needs attention immediately. */
  PAGE_FAST(Duration.ofHours(1), Duration.ofMinutes(5), 14.4),
  /** Needs attention soon, also at night. */
  PAGE_SLOW(Duration.ofHours(6), Duration.ofMinutes(30), 6),
  /** Needs attention on the next working day. */
  TICKET(Duration.ofDays(3), Duration.ofHours(6), 1),
  /** No alert: the error budget is sufficient. */
  NONE(Duration.ZERO, Duration.ZERO, 0);

  private final Duration longWindow;
  private final Duration shortWindow;
  private final double burnRate;

  AlertLevel(Duration longWindow, Duration shortWindow, double burnRate) {
    this.longWindow = longWindow;
    this.shortWindow = shortWindow;
    this.burnRate = burnRate;
  }

  /** Returns the most urgent level that fires. */
  static AlertLevel of(List<WindowBurn> windows) {
    for (AlertLevel level : values()) {
      if (level == NONE
          || (level.isBurning(level.longWindow, windows)
              && level.isBurning(level.shortWindow, windows))) {
        return level;
      }
    }
    return NONE;
  }

  private boolean isBurning(Duration window, List<WindowBurn> windows) {
    return windows.stream().anyMatch(w -> w.window().equals(window) && w.burnRate() >= burnRate);
  }
}
