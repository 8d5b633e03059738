package org.chicorylane.internal.pool;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.chicorylane.internal.position.LogPosition;
import org.junit.jupiter.api.Test;

/** Tests the floors of reads, which must cover each commit that was acknowledged before them. */
final class FloorTrackerTest {

  private final FloorTracker floors = new FloorTracker();

  // Guards against a stale read: a copy of an old status passes as the primary's present position.
  @Test
  void testPositionBelowReportedOneIsNoSample() {
    floors.startTerm(1);
    floors.addSample(millis(1_000), new LogPosition(1, 10));
    floors.addSample(millis(1_005), new LogPosition(1, 11));
    floors.addSample(millis(3_000), new LogPosition(1, 10));
    assertThat(floors.isLastSampleOlderThan(Duration.ofMillis(1_500), millis(3_000))).isTrue();
    Work read = PoolFixture.read("r");
    assertThat(floors.floorFor(read, millis(3_000 + read.maximumAgeMillis() - 1))).isNull();
  }

  private static long millis(long millis) {
    return Duration.ofMillis(millis).toNanos();
  }
}
