package org.chicorylane.internal.passthrough;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards against session values that change under a statement which was submitted with them. */
final class SessionValuesTest {

  @Test
  void testValueThatIsSetLaterDoesNotChangeEarlierValues() {
    SessionValues before = SessionValues.EMPTY.with("tone", "first");
    SessionValues after = before.with("tone", "second");
    assertThat(before.asMap()).containsExactly("tone", "first");
    assertThat(after.asMap()).containsExactly("tone", "second");
  }

  @Test
  void testCopyDoesNotFollowItsOriginal() {
    Map<String, String> original = new HashMap<>(Map.of("tone", "first"));
    SessionValues copy = SessionValues.copyOf(original);
    original.put("tone", "second");
    assertThat(copy.asMap()).containsExactly("tone", "first");
  }

  @Test
  void testViewCannotBeChanged() {
    SessionValues values = SessionValues.EMPTY.with("tone", "first");
    assertThrows(UnsupportedOperationException.class, () -> values.asMap().put("tone", "second"));
  }

  @Test
  void testPairsBeyondTheShorterListAreLeftOut() {
    SessionValues values = SessionValues.ofPairs(List.of("a", "b"), List.of("1"));
    assertThat(values.asMap()).containsExactly("a", "1");
  }

  @Test
  void testNamesKeepTheirOrder() {
    SessionValues values = SessionValues.EMPTY.with("b", "1").with("a", "2").with("b", "3");
    assertThat(values.asMap().keySet()).containsExactly("b", "a").inOrder();
    assertThat(values).isEqualTo(SessionValues.ofPairs(List.of("a", "b"), List.of("2", "3")));
  }
}
