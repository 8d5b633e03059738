package org.chicorylane.internal.failover;

import static com.google.common.truth.Truth.assertThat;

import java.time.Instant;
import java.util.List;
import org.chicorylane.internal.failover.ConfirmationTracker.Settlement;
import org.chicorylane.internal.position.LogPosition;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class ConfirmationTrackerTest {
  private static final Instant DEADLINE = Instant.ofEpochSecond(100);
  private final ConfirmationTracker tracker = new ConfirmationTracker();

  @BeforeEach
  void openTermOne() {
    tracker.open(1, List.of("s0", "s1", "s2"));
  }

  private List<Settlement> submit(String id, long term, long offset) {
    return tracker.submit(id, new LogPosition(term, offset), DEADLINE);
  }

  @Test
  void testPrimaryAloneDoesNotConfirm() {
    submit("a", 1, 10);
    assertThat(tracker.held("s0", 1, 10)).isEmpty();
    assertThat(tracker.wantsObservation()).isTrue();
  }

  @Test
  void testOneObservationConfirmsAllUpToItsOffset() {
    submit("a", 1, 10);
    submit("b", 1, 20);
    submit("c", 1, 21);
    tracker.held("s0", 1, 30);
    assertThat(tracker.held("s2", 1, 20))
        .containsExactly(new Settlement("a", true), new Settlement("b", true));
    assertThat(tracker.pendingCount()).isEqualTo(1);
  }

  @Test
  void testWriteThatIsAlreadyHeldIsConfirmedAtOnce() {
    tracker.held("s0", 1, 30);
    tracker.held("s1", 1, 30);
    assertThat(submit("a", 1, 30)).containsExactly(new Settlement("a", true));
  }

  @Test
  void testObservationOfAnotherTermDoesNotCount() {
    submit("a", 1, 10);
    tracker.held("s0", 1, 10);
    assertThat(tracker.held("s1", 2, 10)).isEmpty();
  }

  @Test
  void testServerThatIsNoVoterDoesNotCount() {
    submit("a", 1, 10);
    tracker.held("s0", 1, 10);
    assertThat(tracker.held("s9", 1, 10)).isEmpty();
  }

  @Test
  void testNewTermMakesPendingWritesUnknown() {
    submit("a", 1, 10);
    assertThat(tracker.open(2, List.of("s0", "s1", "s2")))
        .containsExactly(new Settlement("a", false));
    assertThat(submit("late", 1, 11)).containsExactly(new Settlement("late", false));
  }

  @Test
  void testEndMakesPendingWritesUnknownAndForgetsOffsets() {
    tracker.held("s0", 1, 10);
    submit("a", 1, 10);
    assertThat(tracker.end()).containsExactly(new Settlement("a", false));
    assertThat(submit("b", 1, 10)).containsExactly(new Settlement("b", false));
  }

  @Test
  void testDeadlineMakesWriteUnknown() {
    submit("a", 1, 10);
    assertThat(tracker.expire(DEADLINE.minusMillis(1))).isEmpty();
    assertThat(tracker.expire(DEADLINE)).containsExactly(new Settlement("a", false));
    assertThat(tracker.wantsObservation()).isFalse();
  }
}
