package org.chicorylane.internal.runtime;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Tests the clock that leaves out stalls, with checks that are on time and late. */
final class AttentionClockTest {

  private static final Duration INTERVAL = Duration.ofMillis(50);

  private final VirtualScheduler scheduler = new VirtualScheduler();
  private final AttentionClock attention = new AttentionClock(scheduler, INTERVAL);

  /** Checks {@code count} times, once each {@code interval}. */
  private void check(int count, Duration interval) {
    for (int i = 0; i < count; i++) {
      scheduler.advance(interval);
      attention.check();
    }
  }

  private long millis() {
    return Duration.ofNanos(attention.nanoTime()).toMillis();
  }

  @Test
  void testTimeBetweenPunctualChecksIsCounted() {
    check(10, INTERVAL);
    assertThat(millis()).isEqualTo(500);
  }

  @Test
  void testStallIsCountedAsTwoIntervals() {
    check(1, INTERVAL);
    check(1, Duration.ofSeconds(3));
    assertThat(millis()).isEqualTo(150);
  }

  @Test
  void testStallThatHasNotEndedIsCountedAsTwoIntervals() {
    check(1, INTERVAL);
    scheduler.advance(Duration.ofSeconds(3));
    assertThat(millis()).isEqualTo(150);
  }

  @Test
  void testThreadWithLateChecksIsStalling() {
    check(10, Duration.ofMillis(300));
    assertThat(attention.isStalling()).isTrue();
  }

  @Test
  void testThreadWithPunctualChecksIsNotStallingAnyMore() {
    check(10, Duration.ofMillis(300));
    check(50, INTERVAL);
    assertThat(attention.isStalling()).isFalse();
  }
}
