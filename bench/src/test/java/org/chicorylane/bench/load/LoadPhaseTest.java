package org.chicorylane.bench.load;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Guards against load figures that count failed requests among the latencies or lose a request. */
final class LoadPhaseTest {
  @Test
  void testCountsFailuresApartFromLatencies() throws InterruptedException {
    AtomicInteger sent = new AtomicInteger();
    LoadPhase phase = new LoadPhase();

    phase.runSlice(
        List.of(() -> sent.incrementAndGet() % 2 == 0),
        Duration.ofMillis(20),
        Duration.ofMillis(1));

    assertThat(phase.latency().getTotalCount() + phase.failures()).isEqualTo(sent.get());
    assertThat(phase.failures() - phase.latency().getTotalCount()).isIn(List.of(0L, 1L));
  }
}
