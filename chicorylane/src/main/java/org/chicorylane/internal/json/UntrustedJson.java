package org.chicorylane.internal.json;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;

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

  /** Maximum number of characters of a reported problem. */
  private static final int MAX_PROBLEM_LENGTH = 300;

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
    return convert(() -> reader.apply(JsonParser.parseString(text).getAsJsonObject()), onProblem);
  }

  /**
   * Converts an element of an object that was read; empty if the element or a field is invalid.
   *
   * @param reader converts the element; may throw what {@link #read} allows
   * @param onProblem receives the reason why nothing was converted
   */
  public static <T> Optional<T> readElement(
      JsonElement element, Function<JsonObject, T> reader, Consumer<String> onProblem) {
    return convert(() -> reader.apply(element.getAsJsonObject()), onProblem);
  }

  private static <T> Optional<T> convert(Supplier<T> conversion, Consumer<String> onProblem) {
    try {
      return Optional.of(conversion.get());
    } catch (JsonParseException
        | IllegalStateException
        | IllegalArgumentException
        | IndexOutOfBoundsException
        | NullPointerException
        | ClassCastException
        | UnsupportedOperationException e) {
      onProblem.accept(shorten(String.valueOf(e.getMessage())));
      return Optional.empty();
    }
  }

  /** Shortens a problem, since it may quote the whole text. */
  private static String shorten(String problem) {
    return problem.length() <= MAX_PROBLEM_LENGTH
        ? problem
        : problem.substring(0, MAX_PROBLEM_LENGTH) + "...";
  }
}
