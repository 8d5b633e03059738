package org.chicorylane.internal.runtime;

import java.time.Duration;
import java.util.PriorityQueue;

/** A scheduler on virtual time, which advances only when a test calls {@link #advance}. */
public final class VirtualScheduler implements Scheduler {

  private record Task(long atNanos, long sequence, Runnable action, boolean[] cancelled)
      implements Comparable<Task> {
    @Override
    public int compareTo(Task other) {
      int byTime = Long.compare(atNanos, other.atNanos);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }

  private final PriorityQueue<Task> tasks = new PriorityQueue<>();
  private long now = Duration.ofHours(1).toNanos();
  private long sequence;

  @Override
  public long nanoTime() {
    return now;
  }

  @Override
  public long waitNanoTime() {
    return now;
  }

  @Override
  public Timer schedule(Duration delay, Runnable action) {
    boolean[] cancelled = new boolean[1];
    tasks.add(new Task(now + Math.max(0, delay.toNanos()), sequence++, action, cancelled));
    return () -> cancelled[0] = true;
  }

  /** Advances the time by {@code duration} and runs all tasks that become due, in order of time. */
  public void advance(Duration duration) {
    long end = now + duration.toNanos();
    while (!tasks.isEmpty() && tasks.peek().atNanos() <= end) {
      Task task = tasks.poll();
      now = Math.max(now, task.atNanos());
      if (!task.cancelled()[0]) {
        task.action().run();
      }
    }
    now = end;
  }
}
