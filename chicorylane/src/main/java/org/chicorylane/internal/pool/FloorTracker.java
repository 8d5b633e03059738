package org.chicorylane.internal.pool;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.routing.FreshnessSamples;
import org.jspecify.annotations.Nullable;

/**
 * Works out which log position a read must see, from positions that the primary reported.
 *
 * <p>A position reported to a question holds every commit that was acknowledged before the question
 * was sent. Not thread-safe.
 */
final class FloorTracker {

  /** Samples kept; at one each 20 ms they reach back 2.5 s, and farther when thinned out. */
  private static final int SAMPLES = 128;

  private static final long SAMPLE_INTERVAL_NANOS = 20_000_000;

  private final FreshnessSamples samples = new FreshnessSamples(SAMPLES);
  private long term;
  private LogPosition termStart = LogPosition.ZERO;
  private long lastSampleNanos;

  /** Starts a term; positions of earlier terms no longer count. */
  void startTerm(long newTerm) {
    if (newTerm != term) {
      term = newTerm;
      termStart = LogPosition.ZERO;
      lastSampleNanos = 0;
      samples.clear();
    }
  }

  /** Takes a position that the primary reported to a question sent at {@code sentNanos}. */
  void sample(long sentNanos, @Nullable LogPosition position) {
    if (position == null || position.term() != term) {
      return;
    }
    if (termStart.term() != term) {
      termStart = position;
    }
    if (sentNanos - lastSampleNanos >= SAMPLE_INTERVAL_NANOS) {
      lastSampleNanos = sentNanos;
      samples.add(instant(sentNanos), position.offset());
    }
  }

  /** Returns whether the last sample is older than {@code age}. */
  boolean isOlderThan(Duration age, long nowNanos) {
    return nowNanos - lastSampleNanos > age.toNanos();
  }

  /** Returns what a read must see; null if only the primary can tell. */
  @Nullable LogPosition floorFor(Work work, long arrivedNanos) {
    Optional<Long> offset =
        samples.offsetWithin(Duration.ofMillis(work.maximumAgeMillis()), instant(arrivedNanos));
    if (offset.isEmpty()) {
      return null;
    }
    LogPosition floor = new LogPosition(term, offset.get());
    LogPosition own = work.freshness().includesOwnWrites() ? work.sessionFloor() : null;
    if (own == null) {
      return floor;
    }
    return floor.max(own.term() < term ? termStart : own);
  }

  /** Returns the age of data up to {@code position} in milliseconds, or -1 if it is not known. */
  long ageMillis(LogPosition position, long nowNanos) {
    if (position.term() != term) {
      return -1;
    }
    return samples.age(position.offset(), instant(nowNanos)).map(Duration::toMillis).orElse(-1L);
  }

  private static Instant instant(long nanos) {
    return Instant.ofEpochSecond(
        Math.floorDiv(nanos, 1_000_000_000L), Math.floorMod(nanos, 1_000_000_000L));
  }
}
