package org.chicorylane.internal.json;

import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Reads texts that anybody may have written. What is no JSON object, or lacks what the reader takes
 * from it, is reported and passed over.
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
   * Reads a text.
   *
   * @param reader takes fields from the object; may throw whatever Gson does on fields that are
   *     missing or of another type, and {@code IllegalArgumentException}
   * @param onProblem told why nothing was read
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
