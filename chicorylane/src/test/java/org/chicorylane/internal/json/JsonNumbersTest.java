package org.chicorylane.internal.json;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a number of an entry that is read as another number. */
final class JsonNumbersTest {

  private static JsonObject withSlots(String value) {
    return JsonParser.parseString("{\"slots\":" + value + "}").getAsJsonObject();
  }

  @ParameterizedTest
  @CsvSource({"0, 0", "3, 3", "3.0, 3", "3e2, 300", "1000, 1000"})
  void testWholeNumberWithinLimits(String text, long value) {
    assertThat(JsonNumbers.integer(withSlots(text), "slots", 0, 1_000)).isEqualTo(value);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "-1",
        "1001",
        "3.7",
        "2147483648",
        "99999999999999999999",
        "1e400",
        "1e99999",
        "-1e400",
        "\"3\"",
        "true",
        "null",
        "[3]",
        "{}"
      })
  void testOtherValueIsQuoted(String text) {
    IllegalArgumentException e =
        assertThrows(
            IllegalArgumentException.class,
            () -> JsonNumbers.integer(withSlots(text), "slots", 0, 1_000));
    assertThat(e)
        .hasMessageThat()
        .isEqualTo("slots must be a whole number from 0 to 1000, not " + text);
  }

  @Test
  void testMissingFieldHasDefault() {
    assertThat(JsonNumbers.integer(withSlots("null"), "slots", 0, 9, 7)).isEqualTo(7);
    assertThat(JsonNumbers.integer(new JsonObject(), "slots", 0, 9, 7)).isEqualTo(7);
  }

  @Test
  void testInvalidFieldHasNoDefault() {
    assertThrows(
        IllegalArgumentException.class,
        () -> JsonNumbers.integer(withSlots("1e400"), "slots", 0, 9, 7));
  }

  @Test
  void testReportedProblemIsShort() {
    String longText = "{\"slots\":\"" + "x".repeat(100_000) + "\"}";
    StringBuilder problems = new StringBuilder();
    assertThat(
            UntrustedJson.read(
                longText, o -> JsonNumbers.integer(o, "slots", 0, 9), problems::append))
        .isEmpty();
    assertThat(problems.length()).isLessThan(400);
  }
}
