package org.chicorylane.internal.caller;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.chicorylane.internal.caller.ConnectionTimer.Phase;
import org.junit.jupiter.api.Test;

/**
 * Tests the timeouts of a connection. Guards against callers that keep a connection open by sending
 * single bytes, and against timeouts that run while the service works on a request.
 */
final class ConnectionTimerTest {
  private static final Instant START = Instant.EPOCH;

  private final TimeLimits limits = TimeLimits.defaults();
  private final ConnectionTimer timer = ConnectionTimer.idle(limits, START);

  @Test
  void testHeadersTimeoutStartsAtFirstByte() {
    Instant now = START;
    for (int i = 0; i < 4; i++) {
      now = now.plusSeconds(1);
      timer.onBytesReceived(now);
      assertThat(timer.isExpired(now)).isFalse();
    }

    assertThat(timer.isExpired(START.plusSeconds(1).plus(limits.headersTimeout()))).isTrue();
    assertThat(timer.phase()).isEqualTo(Phase.HEADERS);
  }

  @Test
  void testBodyTimeoutStartsAfterHeaders() {
    timer.onBytesReceived(START);
    timer.onHeadersReceived(START.plusSeconds(4));

    assertThat(timer.isExpired(START.plusSeconds(5))).isFalse();
    assertThat(timer.isExpired(START.plusSeconds(4).plus(limits.bodyTimeout()))).isTrue();
  }

  @Test
  void testServingPhaseNeverExpires() {
    timer.onServiceStarted(START);

    assertThat(timer.isExpired(START.plus(Duration.ofDays(1)))).isFalse();
  }

  @Test
  void testDrainShortensOnlyIdleTimeout() {
    timer.startDrain(START.plusSeconds(3));
    assertThat(timer.isExpired(START.plusSeconds(3))).isFalse();
    assertThat(timer.isExpired(START.plusSeconds(3).plus(limits.drainIdle()))).isTrue();

    timer.onBytesReceived(START.plusSeconds(3));
    assertThat(timer.isExpired(START.plusSeconds(3).plus(limits.drainIdle()))).isFalse();
  }
}
