package org.chicorylane.internal.platform;

import static com.google.common.truth.Truth.assertThat;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/** Guards against times that are later than the assignment of a revision. */
final class RevisionTimesTest {

  private final RevisionTimes times = new RevisionTimes();

  @Test
  void testRevisionIsLaterThanCallsThatWereAnsweredBeforeIt() {
    times.onAnswer(100, 5);
    times.onAnswer(200, 7);
    assertThat(times.lowerBound(7)).isEqualTo(OptionalLong.of(100));
    assertThat(times.lowerBound(8)).isEqualTo(OptionalLong.of(200));
  }

  @Test
  void testNothingIsKnownAboutRevisionsBeforeTheFirstCall() {
    times.onAnswer(100, 5);
    assertThat(times.lowerBound(5)).isEqualTo(OptionalLong.empty());
  }

  // Guards against an answer that was delayed, and arrived after one to a later call.
  @Test
  void testOrderOfTheAnswersDoesNotMatter() {
    times.onAnswer(200, 7);
    times.onAnswer(100, 6);
    assertThat(times.lowerBound(8)).isEqualTo(OptionalLong.of(200));
  }
}
