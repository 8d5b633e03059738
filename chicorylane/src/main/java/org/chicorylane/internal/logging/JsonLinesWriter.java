package org.chicorylane.internal.logging;

import com.google.gson.stream.JsonWriter;
import java.io.IOException;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.EnumSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.tinylog.core.LogEntry;
import org.tinylog.core.LogEntryValue;
import org.tinylog.writers.Writer;

/**
 * A tinylog writer that writes each log entry to the standard error stream, as one JSON object on a
 * line of its own.
 *
 * <p>tinylog creates it by its class name, which {@link LogSetup} configures. Thread-safe.
 */
public final class JsonLinesWriter implements Writer {
  private final PrintStream stream;

  /** Called by tinylog with the properties of the writer. There are none, so they are ignored. */
  public JsonLinesWriter(Map<String, String> properties) {
    this(System.err);
  }

  JsonLinesWriter(PrintStream stream) {
    this.stream = stream;
  }

  @Override
  public Set<LogEntryValue> getRequiredLogEntryValues() {
    return EnumSet.of(
        LogEntryValue.DATE,
        LogEntryValue.LEVEL,
        LogEntryValue.CLASS,
        LogEntryValue.THREAD,
        LogEntryValue.CONTEXT,
        LogEntryValue.MESSAGE,
        LogEntryValue.EXCEPTION);
  }

  @Override
  public void write(LogEntry entry) throws IOException {
    StringWriter line = new StringWriter();
    JsonWriter json = new JsonWriter(line);
    json.setHtmlSafe(false);
    json.beginObject();
    json.name("time").value(entry.getTimestamp().toInstant().toString());
    json.name("level").value(entry.getLevel().name().toLowerCase(Locale.ROOT));
    json.name("class").value(entry.getClassName());
    json.name("thread").value(entry.getThread().getName());
    for (Map.Entry<String, String> field : entry.getContext().entrySet()) {
      json.name(field.getKey()).value(field.getValue());
    }
    json.name("message").value(entry.getMessage());
    Throwable exception = entry.getException();
    if (exception != null) {
      json.name("exception").value(formatStackTrace(exception));
    }
    json.endObject();
    stream.print(line.append('\n'));
  }

  @Override
  public void flush() {
    stream.flush();
  }

  @Override
  public void close() {
    stream.flush();
  }

  private static String formatStackTrace(Throwable exception) {
    StringWriter text = new StringWriter();
    exception.printStackTrace(new PrintWriter(text, true));
    return text.toString();
  }
}
