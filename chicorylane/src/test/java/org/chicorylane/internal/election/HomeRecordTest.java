package org.chicorylane.internal.election;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import org.chicorylane.internal.platform.KeyValueEntry;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests the stored form of the home record. A field lost in the store would make an instance forget
 * a prior home or a pending promotion, and invalid text in the store must not stop an instance.
 */
final class HomeRecordTest {

  private static final HomeRecord.Holder HOME = new HomeRecord.Holder("i1", "i1-a", "10.0.0.1:1");

  private static KeyValueEntry entry(String value) {
    return new KeyValueEntry(HomeRecord.keyOf("plans"), value, 7);
  }

  @Test
  void testEncodedRecordDecodesToEqualRecord() {
    HomeRecord record =
        new HomeRecord(
            3,
            HOME,
            "server-a",
            4,
            "server-b",
            new HomeRecord.Holder("i2", "i2-a", "10.0.0.2:1"),
            List.of(new HomeRecord.Holder("i3", "i3-a", "10.0.0.3:1")),
            true,
            Map.of("server-a", "10.0.1.1:1", "server-c", "10.0.1.3:1"),
            "server-a",
            "w1",
            5);
    assertThat(HomeRecord.decode(entry(record.encode()), p -> {})).hasValue(record);
  }

  @Test
  void testNullFieldsStayNullAfterDecoding() {
    HomeRecord record =
        new HomeRecord(1, HOME, null, 0, null, null, List.of(), false, Map.of(), null, "w1", 0);
    assertThat(HomeRecord.decode(entry(record.encode()), p -> {})).hasValue(record);
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "7", "[]", "{}", "{\"epoch\":\"x\"}", "{\"epoch\":1,\"home\":7}"})
  void testInvalidTextDecodesToEmpty(String text) {
    assertThat(HomeRecord.decode(entry(text), p -> {})).isEmpty();
  }

  private static HomeRecord.Holder holder(String name) {
    return new HomeRecord.Holder(name, name + "-a", "10.0.0.9:1");
  }

  private static HomeRecord record(
      HomeRecord.Holder home, String primary, long term, @Nullable String promoting) {
    return new HomeRecord(
        3,
        home,
        primary,
        term,
        promoting,
        null,
        List.of(holder("i7")),
        false,
        Map.of(primary, primary + ":1"),
        null,
        "w1",
        2);
  }

  /** A restored record that is used as it is names a server that no longer leads the group. */
  @Test
  void testRestoredRecordIsCompletedByLaterPrimary() {
    HomeRecord restored = record(holder("i1"), "server-a", 1, "server-b");
    HomeRecord completed = restored.completedBy(record(holder("i2"), "server-b", 2, null));
    assertThat(completed.home()).isEqualTo(holder("i1"));
    assertThat(completed.primaryId()).isEqualTo("server-b");
    assertThat(completed.term()).isEqualTo(2);
    assertThat(completed.promoting()).isNull();
    assertThat(completed.members())
        .containsExactly("server-a", "server-a:1", "server-b", "server-b:1");
    assertThat(completed.priorHomes()).containsExactly(holder("i7"), holder("i2")).inOrder();
  }

  /** An order that was sent before the restore may still take effect. */
  @Test
  void testRestoredRecordIsCompletedByPendingPromotion() {
    HomeRecord restored = record(holder("i1"), "server-a", 1, null);
    HomeRecord known = record(holder("i1"), "server-a", 1, "server-b");
    assertThat(restored.completedBy(known).promoting()).isEqualTo("server-b");
    assertThat(known.completedBy(restored).promoting()).isEqualTo("server-b");
  }

  @Test
  void testCompletedRecordIsNotChangedBySameKnowledge() {
    HomeRecord known = record(holder("i2"), "server-b", 2, null);
    HomeRecord completed = record(holder("i1"), "server-a", 1, null).completedBy(known);
    assertThat(completed.completedBy(known)).isEqualTo(completed);
  }
}
