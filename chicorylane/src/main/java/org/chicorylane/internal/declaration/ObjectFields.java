package org.chicorylane.internal.declaration;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonPrimitive;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;
import java.util.regex.Pattern;
import org.chicorylane.internal.json.JsonNumbers;
import org.jspecify.annotations.Nullable;

/**
 * Reads the fields of one JSON object, validates them and collects findings.
 *
 * <pre>{@code
 * ObjectFields fields = new ObjectFields(object, "$.spec", findings);
 * int port = fields.integer("port", 1, 65535);
 * fields.reportUnknownKeys();
 * }</pre>
 *
 * <p>A missing or invalid field adds a finding and returns a placeholder within the limits, so that
 * reading continues and all findings are reported together. If there are findings, the caller must
 * discard the object that it built. Not thread-safe.
 */
final class ObjectFields {
  private static final int MAX_QUOTED_CHARACTERS = 60;
  private static final Pattern DNS_LABEL = Pattern.compile("[a-z0-9]([-a-z0-9]{0,61}[a-z0-9])?");
  private static final Pattern PLAIN_KEY = Pattern.compile("[A-Za-z_][A-Za-z0-9_]*");

  private final JsonObject object;
  private final String path;
  private final FindingCollector findings;
  private final Set<String> knownKeys = new HashSet<>();

  ObjectFields(JsonObject object, String path, FindingCollector findings) {
    this.object = object;
    this.path = path;
    this.findings = findings;
  }

  /** Returns the JSON path of a key of this object. */
  String pathOf(String key) {
    return PLAIN_KEY.matcher(key).matches() ? path + "." + key : path + "['" + key + "']";
  }

  /** Adds a finding for a key of this object. */
  void report(String key, String message) {
    findings.add(pathOf(key), message);
  }

  /** Accepts a key without reading its value. */
  void ignore(String key) {
    knownKeys.add(key);
  }

  /** Returns whether the object has the key, even if its value is null. */
  boolean has(String key) {
    return object.has(key);
  }

  /** Returns a lower-case DNS label; empty after a finding. */
  String dnsLabel(String key) {
    return stringMatching(
        key, s -> DNS_LABEL.matcher(s).matches(), "a lower-case DNS label (a-z, 0-9, -)");
  }

  /**
   * Returns a string that passes the check; empty after a finding.
   *
   * @param expected describes a valid value, for the finding
   */
  String stringMatching(String key, Predicate<String> check, String expected) {
    JsonElement e = required(key);
    if (e == null) {
      return "";
    }
    if (!isString(e) || !check.test(e.getAsString())) {
      report(key, quote(e) + " is not " + expected);
      return "";
    }
    return e.getAsString();
  }

  /**
   * Returns text of 1 to {@code max} characters without control characters; empty after a finding.
   */
  String text(String key, int max) {
    String expected = "text of 1 to " + max + " characters without control characters";
    return stringMatching(key, s -> isPlainText(s, 1, max), expected);
  }

  /** Returns text that no finding quotes; empty if absent or after a finding. */
  String secret(String key, int max) {
    knownKeys.add(key);
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

  /** Returns text of 1 to {@code max} characters; null if absent, empty after a finding. */
  @Nullable String optionalText(String key, int max) {
    if (!has(key)) {
      knownKeys.add(key);
      return null;
    }
    return text(key, max);
  }

  /** Returns an integer within the limits, both inclusive; {@code min} after a finding. */
  int integer(String key, int min, int max) {
    JsonElement e = required(key);
    if (e == null) {
      return min;
    }
    OptionalLong value = JsonNumbers.toInteger(e, min, max);
    if (value.isPresent()) {
      return (int) value.getAsLong();
    }
    report(key, quote(e) + " is not a whole number from " + min + " to " + max);
    return min;
  }

  /** Returns an integer within the limits; {@code ifAbsent} if the key is absent. */
  int integer(String key, int min, int max, int ifAbsent) {
    knownKeys.add(key);
    return has(key) ? integer(key, min, max) : ifAbsent;
  }

  /** Returns a number above {@code min} and below {@code max}; {@code min} after a finding. */
  double numberBetween(String key, double min, double max) {
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

  /** Returns a boolean; {@code ifAbsent} if the key is absent or after a finding. */
  boolean bool(String key, boolean ifAbsent) {
    knownKeys.add(key);
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

  /**
   * Returns the enum constant of that name; {@code ifAbsent} if the key is absent or after a
   * finding.
   */
  <E extends Enum<E>> E enumConstant(String key, E[] constants, E ifAbsent) {
    knownKeys.add(key);
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

  /**
   * Returns the fields of each object in a list of {@code min} to {@code max} objects. Elements
   * that are not objects, and a wrong length, add findings.
   */
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

  /** Adds a finding for each key that was neither read nor ignored. */
  void reportUnknownKeys() {
    for (String key : object.keySet()) {
      if (!knownKeys.contains(key)) {
        report(
            key, "unknown key \"" + key + "\"; known are " + knownKeys.stream().sorted().toList());
      }
    }
  }

  /** Returns the value; null after a finding if the key is absent. */
  private @Nullable JsonElement required(String key) {
    knownKeys.add(key);
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

  /** Returns the value as findings quote it, shortened; objects and lists only by their kind. */
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
