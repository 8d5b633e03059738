package org.chicorylane.internal.declaration;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonPrimitive;
import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Predicate;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/**
 * Reads the fields of one JSON object and reports what is wrong with them.
 *
 * <pre>{@code
 * ObjectFields fields = new ObjectFields(object, "$.spec", findings);
 * int port = fields.integer("port", 1, 65535);
 * fields.reportUnknownKeys();
 * }</pre>
 *
 * <p>A field that is missing or wrong adds a finding and yields a placeholder within the limits, so
 * that reading goes on and all findings come together; the caller must drop what it built if there
 * are findings. Not thread-safe.
 */
final class ObjectFields {
  private static final int MAX_QUOTED_CHARACTERS = 60;
  private static final Pattern NAME = Pattern.compile("[a-z0-9]([-a-z0-9]{0,61}[a-z0-9])?");
  private static final Pattern PLAIN_KEY = Pattern.compile("[A-Za-z_][A-Za-z0-9_]*");

  private final JsonObject object;
  private final String path;
  private final FindingCollector findings;
  private final Set<String> known = new HashSet<>();

  ObjectFields(JsonObject object, String path, FindingCollector findings) {
    this.object = object;
    this.path = path;
    this.findings = findings;
  }

  /** Returns the path of a key of this object. */
  String pathOf(String key) {
    return PLAIN_KEY.matcher(key).matches() ? path + "." + key : path + "['" + key + "']";
  }

  /** Adds a finding at a key of this object. */
  void report(String key, String message) {
    findings.add(pathOf(key), message);
  }

  /** Accepts a key without looking at its value. */
  void ignore(String key) {
    known.add(key);
  }

  boolean has(String key) {
    return object.has(key);
  }

  /** Returns a lower-case DNS label. */
  String name(String key) {
    return matching(key, s -> NAME.matcher(s).matches(), "a lower-case DNS label (a-z, 0-9, -)");
  }

  /** Returns text that passes the check. */
  String matching(String key, Predicate<String> check, String wanted) {
    JsonElement e = required(key);
    if (e == null) {
      return "";
    }
    if (!isString(e) || !check.test(e.getAsString())) {
      report(key, quote(e) + " is not " + wanted);
      return "";
    }
    return e.getAsString();
  }

  /** Returns text of 1 to {@code max} characters without control characters. */
  String text(String key, int max) {
    String wanted = "text of 1 to " + max + " characters without control characters";
    return matching(key, s -> isPlainText(s, 1, max), wanted);
  }

  /** Returns text that no finding quotes; empty if absent. */
  String secret(String key, int max) {
    known.add(key);
    JsonElement e = object.get(key);
    if (e == null) {
      return "";
    }
    if (!isString(e) || !isPlainText(e.getAsString(), 0, max)) {
      report(key, "the secret is not text of at most " + max + " characters");
      return "";
    }
    return e.getAsString();
  }

  /** Returns text of at most {@code max} characters; null if absent. */
  @Nullable String optionalText(String key, int max) {
    if (!has(key)) {
      known.add(key);
      return null;
    }
    return text(key, max);
  }

  /** Returns a whole number within the limits, both inclusive. */
  int integer(String key, int min, int max) {
    JsonElement e = required(key);
    if (e == null) {
      return min;
    }
    if (isNumber(e)) {
      BigDecimal n = e.getAsBigDecimal();
      boolean inRange =
          n.compareTo(BigDecimal.valueOf(min)) >= 0 && n.compareTo(BigDecimal.valueOf(max)) <= 0;
      if (inRange && n.stripTrailingZeros().scale() <= 0) {
        return n.intValueExact();
      }
    }
    report(key, quote(e) + " is not a whole number from " + min + " to " + max);
    return min;
  }

  /** Returns a whole number within the limits, or {@code ifAbsent}. */
  int integer(String key, int min, int max, int ifAbsent) {
    known.add(key);
    return has(key) ? integer(key, min, max) : ifAbsent;
  }

  /** Returns a number above {@code min} and below {@code max}. */
  double between(String key, double min, double max) {
    JsonElement e = required(key);
    if (e == null) {
      return min;
    }
    double value = isNumber(e) ? e.getAsBigDecimal().doubleValue() : Double.NaN;
    if (value > min && value < max) {
      return value;
    }
    report(key, quote(e) + " is not a number above " + min + " and below " + max);
    return min;
  }

  /** Returns true or false; {@code ifAbsent} if the key is absent. */
  boolean flag(String key, boolean ifAbsent) {
    known.add(key);
    JsonElement e = object.get(key);
    if (e == null) {
      return ifAbsent;
    }
    if (!(e instanceof JsonPrimitive p && p.isBoolean())) {
      report(key, quote(e) + " is not true or false");
      return ifAbsent;
    }
    return e.getAsBoolean();
  }

  /** Returns the constant that the text names; {@code ifAbsent} if the key is absent. */
  <E extends Enum<E>> E constant(String key, E[] constants, E ifAbsent) {
    known.add(key);
    JsonElement e = object.get(key);
    if (e == null) {
      return ifAbsent;
    }
    for (E c : constants) {
      if (isString(e) && c.name().equals(e.getAsString())) {
        return c;
      }
    }
    report(key, quote(e) + " is not one of " + Arrays.toString(constants));
    return ifAbsent;
  }

  /** Returns the fields of a nested object; null after a finding. */
  @Nullable ObjectFields object(String key) {
    JsonElement e = required(key);
    if (e == null) {
      return null;
    }
    if (!e.isJsonObject()) {
      report(key, quote(e) + " is not an object");
      return null;
    }
    return new ObjectFields(e.getAsJsonObject(), pathOf(key), findings);
  }

  /** Returns the fields of every object of a list of {@code min} to {@code max} objects. */
  List<ObjectFields> objects(String key, int min, int max) {
    List<ObjectFields> result = new ArrayList<>();
    JsonElement e = required(key);
    if (e == null) {
      return result;
    }
    if (!(e instanceof JsonArray array)) {
      report(key, quote(e) + " is not a list");
      return result;
    }
    if (array.size() < min || array.size() > max) {
      report(key, "a list of " + array.size() + " instead of " + min + " to " + max + " entries");
    }
    for (int i = 0; i < Math.min(array.size(), max); i++) {
      String itemPath = String.format(Locale.ROOT, "%s[%d]", pathOf(key), i);
      if (array.get(i) instanceof JsonObject item) {
        result.add(new ObjectFields(item, itemPath, findings));
      } else {
        findings.add(itemPath, quote(array.get(i)) + " is not an object");
      }
    }
    return result;
  }

  /** Reports every key that was not asked for. */
  void reportUnknownKeys() {
    for (String key : object.keySet()) {
      if (!known.contains(key)) {
        report(key, "unknown key \"" + key + "\"; known are " + known.stream().sorted().toList());
      }
    }
  }

  private @Nullable JsonElement required(String key) {
    known.add(key);
    JsonElement e = object.get(key);
    if (e == null) {
      report(key, "\"" + key + "\" is missing");
    }
    return e;
  }

  private static boolean isString(JsonElement e) {
    return e instanceof JsonPrimitive p && p.isString();
  }

  private static boolean isNumber(JsonElement e) {
    return e instanceof JsonPrimitive p && p.isNumber();
  }

  private static boolean isPlainText(String s, int min, int max) {
    return s.length() >= min
        && s.length() <= max
        && s.chars().noneMatch(Character::isISOControl)
        && (s.isEmpty() || !s.isBlank());
  }

  private static String quote(JsonElement e) {
    if (e.isJsonObject()) {
      return "an object";
    }
    if (e.isJsonArray()) {
      return "a list";
    }
    String text = e.toString();
    return text.length() <= MAX_QUOTED_CHARACTERS
        ? text
        : text.substring(0, MAX_QUOTED_CHARACTERS) + "…";
  }
}
