package org.chicorylane.internal.election;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.chicorylane.internal.platform.KeyValueEntry;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class HomeRecordTest {

  private static final HomeRecord.Holder HOME = new HomeRecord.Holder("i1", "i1-a", "10.0.0.1:1");

  private static KeyValueEntry entry(String value) {
    return new KeyValueEntry(HomeRecord.keyOf("plans"), value, 7);
  }

  @Test
  void testRecordSurvivesTheStore() {
    HomeRecord record =
        new HomeRecord(
            3,
            HOME,
            "server-a",
            4,
            "server-b",
            new HomeRecord.Holder("i2", "i2-a", "10.0.0.2:1"),
            List.of(new HomeRecord.Holder("i3", "i3-a", "10.0.0.3:1")),
            "w1");
    assertThat(HomeRecord.decode(entry(record.encode()), p -> {})).hasValue(record);
  }

  @Test
  void testAbsentFieldsStayAbsent() {
    HomeRecord record = new HomeRecord(1, HOME, null, 0, null, null, List.of(), "w1");
    assertThat(HomeRecord.decode(entry(record.encode()), p -> {})).hasValue(record);
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "7", "[]", "{}", "{\"epoch\":\"x\"}", "{\"epoch\":1,\"home\":7}"})
  void testOtherTextIsNoRecord(String text) {
    assertThat(HomeRecord.decode(entry(text), p -> {})).isEmpty();
  }
}
