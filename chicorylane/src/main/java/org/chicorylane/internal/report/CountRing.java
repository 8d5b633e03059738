package org.chicorylane.internal.report;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

/**
 * Counts events in a ring of equally wide time buckets, so that old ones fall out by themselves.
 *
 * <pre>{@code
 * CountRing ring = new CountRing(Duration.ofSeconds(10), 360);
 * ring.add(true, now);
 * Counts lastMinute = ring.sum(Duration.ofMinutes(1), now);
 * }</pre>
 *
 * <p>Takes 24 bytes a bucket. Buckets are aligned to the epoch, so the rings of several instances
 * line up. Not thread-safe. An event that is older than the whole ring is dropped.
 */
final class CountRing {
  private final long widthMillis;
  private final long[] index;
  private final long[] good;
  private final long[] bad;

  CountRing(Duration width, int buckets) {
    widthMillis = width.toMillis();
    index = new long[buckets];
    good = new long[buckets];
    bad = new long[buckets];
  }

  void add(boolean isGood, Instant now) {
    long bucket = bucketOf(now);
    int slot = slotOf(bucket);
    if (index[slot] > bucket) {
      return;
    }
    if (index[slot] < bucket) {
      index[slot] = bucket;
      good[slot] = 0;
      bad[slot] = 0;
    }
    if (isGood) {
      good[slot]++;
    } else {
      bad[slot]++;
    }
  }

  /** Returns the counts of the last buckets that fit into {@code window}, the current included. */
  Counts sum(Duration window, Instant now) {
    long last = bucketOf(now);
    long count = Math.min(index.length, Math.max(1, window.toMillis() / widthMillis));
    return sumBuckets(last - count + 1, last);
  }

  /**
   * Returns the counts in steps that are aligned to the epoch, oldest first, the current step last.
   *
   * @param step a multiple of the bucket's width
   */
  Timeline timeline(Duration step, int steps, Instant now) {
    long bucketsPerStep = step.toMillis() / widthMillis;
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
      if (index[slot] == bucket) {
        goodSum += good[slot];
        badSum += bad[slot];
      }
    }
    return new Counts(goodSum, badSum);
  }

  private long bucketOf(Instant time) {
    return Math.floorDiv(time.toEpochMilli(), widthMillis);
  }

  private int slotOf(long bucket) {
    return Math.floorMod(bucket, index.length);
  }
}
