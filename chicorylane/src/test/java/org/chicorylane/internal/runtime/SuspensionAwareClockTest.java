package org.chicorylane.internal.runtime;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/**
 * Guards against a clock that misses a suspension of the machine, which would keep validity periods
 * open for too long, and against one that goes back or drifts with the system clock.
 */
final class SuspensionAwareClockTest {

  private static final long SECOND = Duration.ofSeconds(1).toNanos();

  private long steady = 5 * SECOND;
  private long system = 1_700_000_000_000L;
  private final SuspensionAwareClock clock = new SuspensionAwareClock(() -> steady, () -> system);

  private long advance(long steadyNanos, long systemMillis) {
    final long before = clock.getAsLong();
    steady += steadyNanos;
    system += systemMillis;
    return clock.getAsLong() - before;
  }

  @Test
  void testFollowsSteadyClock() {
    for (int i = 0; i < 100; i++) {
      assertThat(advance(SECOND / 10, 100)).isEqualTo(SECOND / 10);
    }
  }

  @Test
  void testIncludesSuspension() {
    assertThat(advance(SECOND / 100, 4_010)).isAtLeast(4 * SECOND);
  }

  @Test
  void testDoesNotGoBackWithSystemClock() {
    assertThat(advance(SECOND / 10, -3_600_000)).isEqualTo(SECOND / 10);
    assertThat(advance(SECOND / 10, 100)).isEqualTo(SECOND / 10);
  }

  @Test
  void testJumpForwardAndBackOfSystemClockCountsOnce() {
    advance(SECOND / 10, 2_500);
    assertThat(advance(SECOND / 10, -2_300)).isEqualTo(SECOND / 10);
  }

  @Test
  void testSlowDriftDoesNotCountAsSuspension() {
    long total = 0;
    for (int i = 0; i < 1_000; i++) {
      total += advance(SECOND / 10, i % 50 == 0 ? 101 : 100);
    }
    assertThat(total).isEqualTo(100 * SECOND);
  }
}
