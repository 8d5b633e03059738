package org.chicorylane.internal.mesh;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against frames that were held up and count as new. */
final class TransitDelayTest {

  private static final long OFFSET = 5_000_000;

  private final TransitDelay delay = new TransitDelay();

  @Test
  void testFrameAfterOneThatWasNotHeldUpShowsItsDelay() {
    assertThat(delay.recordArrival(1_000 + OFFSET, 1_002)).isEqualTo(0);
    assertThat(delay.recordArrival(2_000 + OFFSET, 3_202)).isEqualTo(1_200);
  }

  @Test
  void testFasterFrameIsTheNewReference() {
    assertThat(delay.recordArrival(1_000 + OFFSET, 1_900)).isEqualTo(0);
    assertThat(delay.recordArrival(2_000 + OFFSET, 2_001)).isEqualTo(0);
    assertThat(delay.recordArrival(3_000 + OFFSET, 3_501)).isEqualTo(500);
  }

  @Test
  void testClockThatIsAheadOfTheReceiversIsNoDelay() {
    assertThat(delay.recordArrival(9_000_000, 100)).isEqualTo(0);
    assertThat(delay.recordArrival(9_000_100, 200)).isEqualTo(0);
  }

  // Guards against statements that are refused because two clocks have drifted apart.
  @Test
  void testDriftOfTheClocksIsNoDelay() {
    for (long second = 1; second <= 36_000; second++) {
      long sent = OFFSET + second * 1_000;
      assertThat(delay.recordArrival(sent, second * 1_000 + second / 10)).isAtMost(1);
    }
  }

  @Test
  void testFrameOfEarlierBuildIsNotHeldUp() {
    assertThat(delay.recordArrival(1_000 + OFFSET, 1_002)).isEqualTo(0);
    assertThat(delay.recordArrival(0, 90_000)).isEqualTo(0);
  }
}
