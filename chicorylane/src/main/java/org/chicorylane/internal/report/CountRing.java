package org.chicorylane.internal.report;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

/**
 * Counts good and bad events in a ring buffer of time buckets of equal width. New buckets overwrite
 * the oldest ones.
 *
 * <pre>{@code
 * CountRing ring = new CountRing(Duration.ofSeconds(10), 360);
 * ring.add(true, now);
 * Counts lastMinute = ring.sum(Duration.ofMinutes(1), now);
 * }</pre>
 *
 * <p>Uses 24 bytes for each bucket. Buckets are aligned to the epoch, so the buckets of several
 * instances cover the same times. An event older than the whole ring is ignored. Not thread-safe.
 */
final class CountRing {
  private final long bucketWidthMillis;

  /** The bucket that each slot holds at present, numbered from the epoch. */
  private final long[] bucketInSlot;

  private final long[] good;
  private final long[] bad;

  CountRing(Duration width, int buckets) {
    bucketWidthMillis = width.toMillis();
    bucketInSlot = new long[buckets];
    good = new long[buckets];
    bad = new long[buckets];
  }

  void add(boolean isGood, Instant now) {
    long bucket = bucketOf(now);
    int slot = slotOf(bucket);
    if (bucketInSlot[slot] > bucket) {
      return;
    }
    if (bucketInSlot[slot] < bucket) {
      bucketInSlot[slot] = bucket;
      good[slot] = 0;
      bad[slot] = 0;
    }
    if (isGood) {
      good[slot]++;
    } else {
      bad[slot]++;
    }
  }

  /**
   * Returns the counts of the latest buckets that fit into {@code window}, the current one
   * included.
   */
  Counts sum(Duration window, Instant now) {
    long last = bucketOf(now);
    long count = Math.min(bucketInSlot.length, Math.max(1, window.toMillis() / bucketWidthMillis));
    return sumBuckets(last - count + 1, last);
  }

  /**
   * Returns the counts in steps that are aligned to the epoch, oldest first, the current step last.
   *
   * @param step the length of a step, a multiple of the bucket width
   * @param steps the number of steps
   */
  Timeline timeline(Duration step, int steps, Instant now) {
    long bucketsPerStep = step.toMillis() / bucketWidthMillis;
    long firstStep = Math.floorDiv(bucketOf(now), bucketsPerStep) - steps + 1;
    List<Counts> points = new ArrayList<>(steps);
    for (int i = 0; i < steps; i++) {
      long first = (firstStep + i) * bucketsPerStep;
      points.add(sumBuckets(first, first + bucketsPerStep - 1));
    }
    return new Timeline(Instant.ofEpochMilli(firstStep * step.toMillis()), step, points);
  }

  private Counts sumBuckets(long first, long last) {
    long goodSum = 0;
    long badSum = 0;
    for (long bucket = first; bucket <= last; bucket++) {
      int slot = slotOf(bucket);
      if (bucketInSlot[slot] == bucket) {
        goodSum += good[slot];
        badSum += bad[slot];
      }
    }
    return new Counts(goodSum, badSum);
  }

  private long bucketOf(Instant time) {
    return Math.floorDiv(time.toEpochMilli(), bucketWidthMillis);
  }

  private int slotOf(long bucket) {
    return Math.floorMod(bucket, bucketInSlot.length);
  }
}
