package org.chicorylane.internal.json;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.math.BigDecimal;
import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;

/**
 * Reads whole numbers from JSON without loss: {@link JsonElement#getAsLong} wraps a number that is
 * too large, truncates a fraction and parses text.
 *
 * <pre>{@code
 * int slots = (int) JsonNumbers.integer(entry, "slots", 0, 65_535);
 * }</pre>
 *
 * <p>Stateless.
 */
public final class JsonNumbers {

  private JsonNumbers() {}

  /**
   * Returns a whole number.
   *
   * @throws IllegalArgumentException if the field is missing, or is not a whole number within the
   *     limits, both inclusive
   */
  public static long integer(JsonObject o, String name, long min, long max) {
    JsonElement e = o.get(name);
    return toInteger(e, min, max)
        .orElseThrow(
            () ->
                new IllegalArgumentException(
                    name + " must be a whole number from " + min + " to " + max + ", not " + e));
  }

  /**
   * Returns a whole number, or {@code ifAbsent} if the field is missing or null.
   *
   * @throws IllegalArgumentException if the field is not a whole number within the limits, both
   *     inclusive
   */
  public static long integer(JsonObject o, String name, long min, long max, long ifAbsent) {
    JsonElement e = o.get(name);
    return e == null || e.isJsonNull() ? ifAbsent : integer(o, name, min, max);
  }

  /** Returns the element's value; empty if it is not a whole number within the limits. */
  public static OptionalLong toInteger(@Nullable JsonElement e, long min, long max) {
    if (e == null || !e.isJsonPrimitive() || !e.getAsJsonPrimitive().isNumber()) {
      return OptionalLong.empty();
    }
    BigDecimal n;
    try {
      n = e.getAsBigDecimal();
    } catch (NumberFormatException tooLong) {
      return OptionalLong.empty();
    }
    boolean isInRange =
        n.compareTo(BigDecimal.valueOf(min)) >= 0 && n.compareTo(BigDecimal.valueOf(max)) <= 0;
    return isInRange && n.stripTrailingZeros().scale() <= 0
        ? OptionalLong.of(n.longValueExact())
        : OptionalLong.empty();
  }
}
