package org.chicorylane.internal.time;

import static com.google.common.truth.Truth.assertThat;

import java.time.Instant;
import org.junit.jupiter.api.Test;

/**
 * Guards against wrong instants when {@link System#nanoTime}, whose origin is arbitrary, overflows
 * after the clock was created.
 */
final class SteadyInstantSourceTest {

  private long nanos = Long.MAX_VALUE - 5;

  @Test
  void testAdvancesWithMonotonicClockAcrossItsOverflow() {
    Instant start = Instant.ofEpochSecond(100);
    SteadyInstantSource clock = new SteadyInstantSource(start, () -> nanos);
    assertThat(clock.instant()).isEqualTo(start);
    nanos += 10;
    assertThat(clock.instant()).isEqualTo(start.plusNanos(10));
  }
}
