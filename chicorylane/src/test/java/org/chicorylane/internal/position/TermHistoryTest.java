package org.chicorylane.internal.position;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class TermHistoryTest {
  private final TermHistory history = TermHistory.first(1).next(2, 500).next(3, 400);

  @Test
  void testPositionBeforeEveryLaterTermSurvives() {
    assertThat(history.contains(new LogPosition(1, 400))).isTrue();
  }

  @Test
  void testTailCutByAnyLaterTermIsLost() {
    assertThat(history.contains(new LogPosition(1, 450))).isFalse();
    assertThat(history.contains(new LogPosition(2, 501))).isFalse();
  }

  @Test
  void testPositionOfUnknownNewerTermDoesNotSurvive() {
    assertThat(history.contains(new LogPosition(4, 1))).isFalse();
  }
}
