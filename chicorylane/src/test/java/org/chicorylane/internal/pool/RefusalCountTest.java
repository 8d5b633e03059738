package org.chicorylane.internal.pool;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.chicorylane.internal.passthrough.FailureCode;
import org.junit.jupiter.api.Test;

/** Tests that each refusal in a burst is counted once, by its reason. */
final class RefusalCountTest {

  private final PoolFixture fixture = new PoolFixture();

  @Test
  void testEachRefusalIsCountedOnceByItsReason() {
    for (String id : new String[] {"server-a", "server-b", "server-c"}) {
      fixture.group.server(id).work = Duration.ofMillis(60);
    }
    for (int i = 0; i < 1_000; i++) {
      fixture.submit(PoolFixture.read("r" + i));
      fixture.advance(2);
    }
    fixture.advance(2_000);
    long refused =
        fixture.answers.values().stream().filter(a -> a.failedWith(FailureCode.OVERLOADED)).count();
    long counted = 0;
    for (Refusal refusal : Refusal.values()) {
      counted += fixture.metrics.counter(refusal.metricName()).getCount();
    }
    assertThat(refused).isGreaterThan(200);
    assertThat(counted).isEqualTo(refused);
    assertThat(fixture.metrics.counter(Refusal.QUEUE_TOO_LONG.metricName()).getCount())
        .isGreaterThan(0);
  }
}
