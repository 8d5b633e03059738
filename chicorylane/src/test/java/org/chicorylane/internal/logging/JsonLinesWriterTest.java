package org.chicorylane.internal.logging;

import static com.google.common.truth.Truth.assertThat;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.tinylog.Level;
import org.tinylog.ThreadContext;
import org.tinylog.core.LogEntry;
import org.tinylog.runtime.PreciseTimestamp;

/**
 * Guards against log entries that break the JSON lines format, for example through a line break or
 * a quotation mark in a message, and against a request id that stays on later entries of the
 * thread.
 */
final class JsonLinesWriterTest {

  @Test
  void testWritesEachEntryAsOneLineWithItsFields() throws Exception {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    JsonLinesWriter writer =
        new JsonLinesWriter(new PrintStream(bytes, true, StandardCharsets.UTF_8));

    writer.write(entry("two\nlines \"quoted\"", new IllegalStateException("why")));
    writer.write(entry("next", null));

    List<String> lines = bytes.toString(StandardCharsets.UTF_8).lines().toList();
    assertThat(lines).hasSize(2);
    JsonObject first = JsonParser.parseString(lines.get(0)).getAsJsonObject();
    assertThat(first.get("message").getAsString()).isEqualTo("two\nlines \"quoted\"");
    assertThat(first.get("requestId").getAsString()).isEqualTo("r-1");
    assertThat(first.get("level").getAsString()).isEqualTo("warn");
    assertThat(Instant.parse(first.get("time").getAsString())).isGreaterThan(Instant.EPOCH);
    assertThat(first.get("exception").getAsString()).contains("IllegalStateException: why");
    assertThat(JsonParser.parseString(lines.get(1)).getAsJsonObject().has("exception")).isFalse();
  }

  @Test
  void testRequestIdIsRemovedAfterLogging() {
    LogFields.forRequest(
        "r-2",
        () -> assertThat(ThreadContext.getMapping()).containsEntry(LogFields.REQUEST_ID, "r-2"));

    assertThat(ThreadContext.getMapping()).isEmpty();
  }

  private static LogEntry entry(String message, Throwable exception) {
    return new LogEntry(
        new PreciseTimestamp(),
        Thread.currentThread(),
        Map.of(LogFields.REQUEST_ID, "r-1"),
        "org.chicorylane.Example",
        "run",
        "Example.java",
        1,
        null,
        Level.WARN,
        message,
        exception);
  }
}
