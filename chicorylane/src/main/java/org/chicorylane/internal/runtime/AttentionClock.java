package org.chicorylane.internal.runtime;

import java.time.Duration;

/**
 * A clock that leaves out the time in which an instance's thread was stalled, because it had more
 * work than processor time. Silence of another process is measured with it: an answer that waits to
 * be read during a stall does not count as missing.
 *
 * <pre>{@code
 * AttentionClock attention = new AttentionClock(scheduler, Duration.ofMillis(50));
 * scheduler.repeat(Duration.ofMillis(50), attention::check);
 * boolean silent = attention.nanoTime() - askedNanos > timeoutNanos;
 * }</pre>
 *
 * <p>Confined to that thread.
 */
public final class AttentionClock {

  /** Longest time between two checks that is counted, as a multiple of the interval. */
  private static final int MAXIMUM_STEP_INTERVALS = 2;

  /** Time over which it is decided whether the thread is stalling. */
  private static final long WINDOW_NANOS = Duration.ofSeconds(1).toNanos();

  /** A thread is stalling if it was attentive for less than this share of a window. */
  private static final double STALLING_SHARE = 0.5;

  private final Scheduler scheduler;
  private final long maximumStepNanos;
  private long lastCheckNanos;
  private long countedNanos;
  private long windowStartNanos;
  private long windowStartCountedNanos;
  private boolean stalling;

  /**
   * Creates a clock that starts at 0.
   *
   * @param interval the interval at which {@link #check()} is due
   */
  public AttentionClock(Scheduler scheduler, Duration interval) {
    this.scheduler = scheduler;
    this.maximumStepNanos = interval.toNanos() * MAXIMUM_STEP_INTERVALS;
    this.lastCheckNanos = scheduler.nanoTime();
    this.windowStartNanos = lastCheckNanos;
  }

  /** Counts the time since the last check, up to two intervals. Called at each interval. */
  public void check() {
    countedNanos = nanoTime();
    lastCheckNanos = scheduler.nanoTime();
    long windowNanos = lastCheckNanos - windowStartNanos;
    if (windowNanos >= WINDOW_NANOS) {
      stalling = countedNanos - windowStartCountedNanos < windowNanos * STALLING_SHARE;
      windowStartNanos = lastCheckNanos;
      windowStartCountedNanos = countedNanos;
    }
  }

  /** Returns the attentive time in nanoseconds since this clock was created. */
  public long nanoTime() {
    return countedNanos + Math.min(scheduler.nanoTime() - lastCheckNanos, maximumStepNanos);
  }

  /** Returns whether the thread was stalled for more than half of the last second or so. */
  public boolean isStalling() {
    return stalling;
  }
}
