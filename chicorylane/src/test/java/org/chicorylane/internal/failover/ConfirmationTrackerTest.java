package org.chicorylane.internal.failover;

import static com.google.common.truth.Truth.assertThat;

import java.time.Instant;
import java.util.List;
import org.chicorylane.internal.failover.ConfirmationTracker.Settlement;
import org.chicorylane.internal.position.LogPosition;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against writes that are acknowledged before a majority of the voters holds them in their
 * term, and against writes that stay pending after their term or deadline has ended.
 */
final class ConfirmationTrackerTest {
  private static final Instant DEADLINE = Instant.ofEpochSecond(100);
  private final ConfirmationTracker tracker = new ConfirmationTracker();

  @BeforeEach
  void openTermOne() {
    tracker.beginTerm(1, List.of("s0", "s1", "s2"));
  }

  private List<Settlement> submit(String id, long term, long offset) {
    return tracker.submit(id, new LogPosition(term, offset), DEADLINE);
  }

  @Test
  void testPrimaryAloneDoesNotConfirm() {
    submit("a", 1, 10);
    assertThat(tracker.onLogHeld("s0", 1, 10)).isEmpty();
    assertThat(tracker.needsObservation()).isTrue();
  }

  @Test
  void testOneObservationConfirmsAllUpToItsOffset() {
    submit("a", 1, 10);
    submit("b", 1, 20);
    submit("c", 1, 21);
    tracker.onLogHeld("s0", 1, 30);
    assertThat(tracker.onLogHeld("s2", 1, 20))
        .containsExactly(new Settlement("a", true), new Settlement("b", true));
    assertThat(tracker.pendingCount()).isEqualTo(1);
  }

  @Test
  void testWriteThatMajorityAlreadyHoldsIsConfirmedAtOnce() {
    tracker.onLogHeld("s0", 1, 30);
    tracker.onLogHeld("s1", 1, 30);
    assertThat(submit("a", 1, 30)).containsExactly(new Settlement("a", true));
  }

  @Test
  void testObservationOfAnotherTermDoesNotCount() {
    submit("a", 1, 10);
    tracker.onLogHeld("s0", 1, 10);
    assertThat(tracker.onLogHeld("s1", 2, 10)).isEmpty();
  }

  @Test
  void testServerThatIsNotVoterDoesNotCount() {
    submit("a", 1, 10);
    tracker.onLogHeld("s0", 1, 10);
    assertThat(tracker.onLogHeld("s9", 1, 10)).isEmpty();
  }

  @Test
  void testNewTermMakesPendingWritesUnknown() {
    submit("a", 1, 10);
    assertThat(tracker.beginTerm(2, List.of("s0", "s1", "s2")))
        .containsExactly(new Settlement("a", false));
    assertThat(submit("late", 1, 11)).containsExactly(new Settlement("late", false));
  }

  @Test
  void testEndTermMakesPendingWritesUnknownAndDiscardsOffsets() {
    tracker.onLogHeld("s0", 1, 10);
    submit("a", 1, 10);
    assertThat(tracker.endTerm()).containsExactly(new Settlement("a", false));
    assertThat(submit("b", 1, 10)).containsExactly(new Settlement("b", false));
  }

  @Test
  void testDeadlineMakesWriteUnknown() {
    submit("a", 1, 10);
    assertThat(tracker.expire(DEADLINE.minusMillis(1))).isEmpty();
    assertThat(tracker.expire(DEADLINE)).containsExactly(new Settlement("a", false));
    assertThat(tracker.needsObservation()).isFalse();
  }
}
