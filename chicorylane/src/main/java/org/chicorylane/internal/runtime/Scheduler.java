package org.chicorylane.internal.runtime;

import java.time.Duration;

/**
 * The clock and the timers of the single thread that makes all decisions of an instance.
 *
 * <pre>{@code
 * Scheduler.Timer timer = scheduler.schedule(Duration.ofMillis(100), this::retry);
 * timer.cancel();
 * }</pre>
 *
 * <p>Confined to that thread. Tests use {@code VirtualScheduler}, whose time advances only when a
 * test advances it.
 */
public interface Scheduler {

  /**
   * Returns a monotonic time in nanoseconds, by which what this instance holds ends: its leases and
   * confirmations. It includes the time during which the instance was suspended, as far as the
   * system clock shows it, and so runs ahead after a jump of the system clock.
   */
  long nanoTime();

  /**
   * Returns a monotonic time in nanoseconds, by which this instance waits for the end of what
   * another process may hold, such as its lease or an order under way. It never runs ahead: a
   * suspension is left out, and a jump of the system clock has no effect. Its values are not
   * comparable with those of {@link #nanoTime}.
   */
  long waitNanoTime();

  /** Runs {@code task} once, {@code delay} from now. */
  Timer schedule(Duration delay, Runnable task);

  /**
   * Runs {@code task} repeatedly, first one {@code period} from now and then one {@code period}
   * after the end of each run.
   */
  default Timer repeat(Duration period, Runnable task) {
    return new RepeatingTimer(this, period, task);
  }

  /** Returns {@link #nanoTime} in whole milliseconds. */
  default long millis() {
    return nanoTime() / 1_000_000;
  }

  /** A scheduled task. */
  interface Timer {
    /** Cancels the task; has no effect on a run that has already started. */
    void cancel();
  }
}
