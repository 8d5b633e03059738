package org.chicorylane.internal.runtime;

import java.time.Duration;

/**
 * The time and the timers of the one thread on which an instance decides.
 *
 * <pre>{@code
 * Scheduler.Timer timer = scheduler.schedule(Duration.ofMillis(100), this::retry);
 * timer.cancel();
 * }</pre>
 *
 * <p>Confined to that thread. Tests use an implementation whose time stands still until advanced.
 */
public interface Scheduler {

  /**
   * Returns a time in nanoseconds that never goes back. It includes the time during which the
   * instance was suspended, as far as the system clock shows it.
   */
  long nanoTime();

  /** Runs {@code task} once, {@code delay} from now. */
  Timer schedule(Duration delay, Runnable task);

  /** Runs {@code task} every {@code period}, first one period from now. */
  default Timer repeat(Duration period, Runnable task) {
    return new RepeatingTimer(this, period, task);
  }

  /** Returns the current time in whole milliseconds. */
  default long millis() {
    return nanoTime() / 1_000_000;
  }

  /** A task that waits for its time. */
  interface Timer {
    /** Prevents the task from running, if it has not yet run. */
    void cancel();
  }
}
