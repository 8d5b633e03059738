package org.chicorylane.internal.pool;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.routing.FreshnessSamples;
import org.jspecify.annotations.Nullable;

/**
 * Computes the floor of a read (the log position that it must see) from positions that the primary
 * reported, for bounded staleness and read-your-writes consistency.
 *
 * <p>A position in an answer of the primary covers every commit that was acknowledged before the
 * request for the answer was sent. Not thread-safe.
 */
final class FloorTracker {

  /** Samples kept: one every 20 ms covers 2.5 s, and more once older samples are thinned out. */
  private static final int MAX_SAMPLES = 128;

  private static final long SAMPLE_INTERVAL_NANOS = 20_000_000;

  private final FreshnessSamples samples = new FreshnessSamples(MAX_SAMPLES);
  private long term;

  /** First position known in the term; the floor of reads that must see earlier terms' commits. */
  private LogPosition termStart = LogPosition.ZERO;

  private long lastSampleNanos;

  /** The highest position that the primary has reported in the term. */
  private LogPosition newest = LogPosition.ZERO;

  /** Starts a term. Positions of earlier terms are discarded. */
  void startTerm(long newTerm) {
    if (newTerm != term) {
      term = newTerm;
      termStart = LogPosition.ZERO;
      newest = LogPosition.ZERO;
      lastSampleNanos = 0;
      samples.clear();
    }
  }

  /**
   * Adds a position that the primary reported in its answer to a request sent at {@code sentNanos}.
   * Ignores null, positions of other terms, and positions below one that was reported before, which
   * are from before {@code sentNanos}.
   */
  void addSample(long sentNanos, @Nullable LogPosition position) {
    if (position == null || position.term() != term || position.compareTo(newest) < 0) {
      return;
    }
    newest = position;
    if (termStart.term() != term) {
      termStart = position;
    }
    if (sentNanos - lastSampleNanos >= SAMPLE_INTERVAL_NANOS) {
      lastSampleNanos = sentNanos;
      samples.add(toInstant(sentNanos), position.offset());
    }
  }

  /** Returns whether the last sample is older than {@code age}. */
  boolean isLastSampleOlderThan(Duration age, long nowNanos) {
    return nowNanos - lastSampleNanos > age.toNanos();
  }

  /**
   * Returns the floor of a read; null if no sample is recent enough, so that only the primary can
   * serve the read.
   */
  @Nullable LogPosition floorFor(Work work, long arrivedNanos) {
    Optional<Long> offset =
        samples.offsetWithin(Duration.ofMillis(work.maximumAgeMillis()), toInstant(arrivedNanos));
    if (offset.isEmpty()) {
      return null;
    }
    LogPosition floor = new LogPosition(term, offset.get());
    LogPosition sessionFloor = work.freshness().includesOwnWrites() ? work.sessionFloor() : null;
    if (sessionFloor == null) {
      return floor;
    }
    return floor.max(sessionFloor.term() < term ? termStart : sessionFloor);
  }

  /**
   * Returns an upper bound on the age in milliseconds of data that was replayed up to {@code
   * position}, or -1 if it is unknown.
   */
  long ageMillis(LogPosition position, long nowNanos) {
    if (position.term() != term) {
      return -1;
    }
    return samples.age(position.offset(), toInstant(nowNanos)).map(Duration::toMillis).orElse(-1L);
  }

  private static Instant toInstant(long nanos) {
    return Instant.ofEpochSecond(
        Math.floorDiv(nanos, 1_000_000_000L), Math.floorMod(nanos, 1_000_000_000L));
  }
}
