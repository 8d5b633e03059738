package org.chicorylane.internal.json;

import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Reads JSON objects from untrusted sources. A text that is not a JSON object, or lacks a field
 * that the reader needs, is reported and ignored.
 *
 * <pre>{@code
 * UntrustedJson.read(text, o -> new Entry(o.get("name").getAsString()), log::problem);
 * }</pre>
 *
 * <p>Stateless.
 */
public final class UntrustedJson {

  private UntrustedJson() {}

  /**
   * Reads an object; empty if the text or a field is invalid.
   *
   * @param reader converts the object; may throw the exceptions that Gson throws for missing fields
   *     or fields of another type, and {@code IllegalArgumentException}
   * @param onProblem receives the reason why nothing was read
   */
  public static <T> Optional<T> read(
      String text, Function<JsonObject, T> reader, Consumer<String> onProblem) {
    try {
      return Optional.of(reader.apply(JsonParser.parseString(text).getAsJsonObject()));
    } catch (JsonParseException
        | IllegalStateException
        | IllegalArgumentException
        | IndexOutOfBoundsException
        | NullPointerException
        | ClassCastException
        | UnsupportedOperationException e) {
      onProblem.accept(String.valueOf(e.getMessage()));
      return Optional.empty();
    }
  }
}
