package org.chicorylane.internal.runtime;

import java.time.Duration;

/**
 * A timer that runs a task periodically, by scheduling it again after each run, also after one that
 * failed.
 */
final class RepeatingTimer implements Scheduler.Timer {

  private final Scheduler scheduler;
  private final Duration period;
  private final Runnable task;
  private Scheduler.Timer next;
  private boolean cancelled;

  RepeatingTimer(Scheduler scheduler, Duration period, Runnable task) {
    this.scheduler = scheduler;
    this.period = period;
    this.task = task;
    this.next = scheduler.schedule(period, this::run);
  }

  private void run() {
    if (cancelled) {
      return;
    }
    try {
      task.run();
    } finally {
      if (!cancelled) {
        next = scheduler.schedule(period, this::run);
      }
    }
  }

  @Override
  public void cancel() {
    cancelled = true;
    next.cancel();
  }
}
