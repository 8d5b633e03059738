package org.chicorylane.internal.position;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Guards against treating lost data as present: a change of primary can cut the tail of the log, so
 * a position in that tail is not part of the current log even when a later term has passed its
 * offset.
 */
final class TermHistoryTest {
  private final TermHistory history = TermHistory.first(1).next(2, 500).next(3, 400);

  @Test
  void testContainsPositionBeforeStartOfEveryLaterTerm() {
    assertThat(history.contains(new LogPosition(1, 400))).isTrue();
  }

  @Test
  void testExcludesTailCutByAnyLaterTerm() {
    assertThat(history.contains(new LogPosition(1, 450))).isFalse();
    assertThat(history.contains(new LogPosition(2, 501))).isFalse();
  }

  @Test
  void testExcludesPositionOfUnknownNewerTerm() {
    assertThat(history.contains(new LogPosition(4, 1))).isFalse();
  }
}
