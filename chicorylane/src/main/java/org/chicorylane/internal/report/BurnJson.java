package org.chicorylane.internal.report;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.TypeAdapter;
import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonWriter;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.function.Function;

/**
 * Writes reports as JSON and reads them back.
 *
 * <pre>{@code
 * Optional<BurnReport> read = BurnJson.read(BurnJson.write(report));
 * }</pre>
 *
 * <p>Times and durations are written as ISO 8601 texts. Stateless and thread-safe.
 */
public final class BurnJson {
  private static final Gson GSON =
      new GsonBuilder()
          .registerTypeAdapter(Instant.class, new TextAdapter<>(Instant::parse).nullSafe())
          .registerTypeAdapter(Duration.class, new TextAdapter<>(Duration::parse).nullSafe())
          .create();

  private BurnJson() {}

  /** Returns the report as a JSON object. */
  public static String write(BurnReport report) {
    return GSON.toJson(report);
  }

  /** Returns the report; empty if the text is not a complete report. */
  public static Optional<BurnReport> read(String json) {
    try {
      return Optional.ofNullable(GSON.fromJson(json, BurnReport.class));
    } catch (RuntimeException e) {
      // Gson wraps exceptions of the record constructors in plain runtime exceptions.
      return Optional.empty();
    }
  }

  /** Reads and writes values as the text that {@code toString} returns. */
  private static final class TextAdapter<T> extends TypeAdapter<T> {
    private final Function<String, T> parser;

    TextAdapter(Function<String, T> parser) {
      this.parser = parser;
    }

    @Override
    public void write(JsonWriter out, T value) throws IOException {
      out.value(value.toString());
    }

    @Override
    public T read(JsonReader in) throws IOException {
      return parser.apply(in.nextString());
    }
  }
}
