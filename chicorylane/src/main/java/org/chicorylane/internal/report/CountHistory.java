package org.chicorylane.internal.report;

import java.time.Duration;
import java.time.Instant;

/**
 * Counts good and bad events over the last three days, in buckets of 10 s for the last hour and of
 * 5 min for all three days.
 *
 * <p>Uses about 30 kB of memory. Not thread-safe.
 */
final class CountHistory {
  /** The longest window that is kept. */
  static final Duration LONGEST_WINDOW = Duration.ofDays(3);

  private static final Duration FINE_BUCKET_WIDTH = Duration.ofSeconds(10);
  private static final Duration FINE_SPAN = Duration.ofHours(1);
  private static final Duration COARSE_BUCKET_WIDTH = Duration.ofMinutes(5);
  private static final Duration HOUR_STEP = Duration.ofMinutes(1);
  private static final Duration DAYS_STEP = Duration.ofHours(1);

  private final CountRing fine = newRing(FINE_BUCKET_WIDTH, FINE_SPAN);
  private final CountRing coarse = newRing(COARSE_BUCKET_WIDTH, LONGEST_WINDOW);

  void add(boolean good, Instant now) {
    fine.add(good, now);
    coarse.add(good, now);
  }

  /** Returns the counts over a window that ends now, at most {@link #LONGEST_WINDOW}. */
  Counts sum(Duration window, Instant now) {
    return window.compareTo(FINE_SPAN) <= 0 ? fine.sum(window, now) : coarse.sum(window, now);
  }

  /** Returns the last hour in steps of one minute. */
  Timeline lastHour(Instant now) {
    return fine.timeline(HOUR_STEP, stepsIn(FINE_SPAN, HOUR_STEP), now);
  }

  /** Returns the last three days in steps of one hour. */
  Timeline lastDays(Instant now) {
    return coarse.timeline(DAYS_STEP, stepsIn(LONGEST_WINDOW, DAYS_STEP), now);
  }

  private static CountRing newRing(Duration width, Duration span) {
    return new CountRing(width, stepsIn(span, width));
  }

  private static int stepsIn(Duration span, Duration step) {
    return Math.toIntExact(span.dividedBy(step));
  }
}
