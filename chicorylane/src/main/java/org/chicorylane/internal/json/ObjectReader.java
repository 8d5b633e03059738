package org.chicorylane.internal.json;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonPrimitive;
import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import org.chicorylane.internal.finding.Finding;

/**
 * Reads the members of one JSON object, validates them and collects findings.
 *
 * <pre>{@code
 * String name = root.string("name").orElse("unnamed");
 * long port = root.integer("port", 1, 65_535).orElse(7_400L);
 * root.reportUnknownMembers(); // reports members that were not read
 * }</pre>
 *
 * <p>An absent or invalid member is returned as empty; only an invalid one adds a finding. Not
 * thread-safe.
 */
public final class ObjectReader {
  private static final int MAXIMUM_QUOTED_CHARACTERS = 60;
  private static final Pattern PLAIN_NAME = Pattern.compile("[A-Za-z_][A-Za-z0-9_]*");

  private final String source;
  private final String path;
  private final JsonObject object;
  private final List<Finding> findings;
  private final Set<String> requestedNames = new HashSet<>();

  /**
   * Creates a reader.
   *
   * @param source the name of the file or resource in findings
   * @param path the JSON path of the object
   * @param object the object
   * @param findings the list that findings are added to
   */
  public ObjectReader(String source, String path, JsonObject object, List<Finding> findings) {
    this.source = source;
    this.path = path;
    this.object = object;
    this.findings = findings;
  }

  /** Returns whether the object has the member, regardless of its value. */
  public boolean has(String name) {
    return object.has(name);
  }

  /** Returns the JSON path of a member. */
  public String pathOf(String name) {
    return PLAIN_NAME.matcher(name).matches() ? path + "." + name : path + "['" + name + "']";
  }

  /** Adds a finding for a member. */
  public void report(String name, String message) {
    findings.add(new Finding(source, pathOf(name), message));
  }

  /** Adds a finding if the member is absent, and returns this reader. */
  public ObjectReader require(String name) {
    if (!object.has(name)) {
      report(name, "\"" + name + "\" is missing");
    }
    return this;
  }

  /** Returns a non-empty string. */
  public Optional<String> string(String name) {
    Optional<JsonPrimitive> text =
        primitive(name).filter(p -> p.isString() || reportWrongType(name, "a string"));
    if (text.isPresent() && text.get().getAsString().isEmpty()) {
      report(name, "expected a string that is not empty");
      return Optional.empty();
    }
    return text.map(JsonPrimitive::getAsString);
  }

  /** Returns a string whose value findings never quote. */
  public Optional<String> secret(String name) {
    requestedNames.add(name);
    JsonElement e = object.get(name);
    if (e == null) {
      return Optional.empty();
    }
    if (!e.isJsonPrimitive() || !e.getAsJsonPrimitive().isString()) {
      report(name, "expected a string (the value is not shown)");
      return Optional.empty();
    }
    return Optional.of(e.getAsString());
  }

  /** Returns a boolean. */
  public Optional<Boolean> bool(String name) {
    return primitive(name)
        .filter(p -> p.isBoolean() || reportWrongType(name, "true or false"))
        .map(JsonPrimitive::getAsBoolean);
  }

  /** Returns an integer within the bounds, both inclusive. */
  public Optional<Long> integer(String name, long minimum, long maximum) {
    Optional<JsonPrimitive> number =
        primitive(name).filter(p -> p.isNumber() || reportWrongType(name, "an integer"));
    if (number.isEmpty()) {
      return Optional.empty();
    }
    try {
      String text = number.get().getAsString();
      long value =
          text.length() > MAXIMUM_QUOTED_CHARACTERS ? 0 : new BigDecimal(text).longValueExact();
      if (text.length() <= MAXIMUM_QUOTED_CHARACTERS && value >= minimum && value <= maximum) {
        return Optional.of(value);
      }
    } catch (ArithmeticException | NumberFormatException e) {
      // A fraction, or a number outside the range of long; reported below.
    }
    report(
        name,
        "expected an integer from " + minimum + " to " + maximum + ", not " + quote(number.get()));
    return Optional.empty();
  }

  /** Returns a nested object. */
  public Optional<ObjectReader> object(String name) {
    return member(name)
        .filter(e -> e.isJsonObject() || reportWrongType(name, "an object"))
        .map(e -> new ObjectReader(source, pathOf(name), e.getAsJsonObject(), findings));
  }

  /** Returns the elements of an array without validation. */
  public Optional<JsonArray> array(String name) {
    return member(name)
        .filter(e -> e.isJsonArray() || reportWrongType(name, "an array"))
        .map(JsonElement::getAsJsonArray);
  }

  /** Returns the objects of an array, and adds a finding for each other element. */
  public Optional<List<ObjectReader>> objects(String name) {
    return array(name)
        .map(
            array -> {
              List<ObjectReader> readers = new ArrayList<>();
              for (int i = 0; i < array.size(); i++) {
                element(name, i, array.get(i)).ifPresent(readers::add);
              }
              return readers;
            });
  }

  /** Adds a finding for each member that was not read. */
  public void reportUnknownMembers() {
    for (String name : object.keySet()) {
      if (!requestedNames.contains(name)) {
        report(name, "unknown field \"" + shorten(name) + "\"");
      }
    }
  }

  /**
   * Returns the element's text as findings quote it, shortened if long. Non-empty arrays and
   * objects are named only by their kind because they may contain secrets.
   */
  public static String quote(JsonElement e) {
    if (e.isJsonArray() && !e.getAsJsonArray().isEmpty()) {
      return "an array";
    }
    if (e.isJsonObject() && !e.getAsJsonObject().isEmpty()) {
      return "an object";
    }
    return shorten(e.toString());
  }

  /** Quotes an element where an object was expected, but not a string, which may be a secret. */
  private static String quoteUnlessString(JsonElement e) {
    boolean isString = e instanceof JsonPrimitive p && p.isString();
    return isString ? "a string" : quote(e);
  }

  private Optional<ObjectReader> element(String name, int index, JsonElement e) {
    String elementPath = pathOf(name) + "[" + index + "]";
    if (!e.isJsonObject()) {
      findings.add(
          new Finding(source, elementPath, "expected an object, not " + quoteUnlessString(e)));
      return Optional.empty();
    }
    return Optional.of(new ObjectReader(source, elementPath, e.getAsJsonObject(), findings));
  }

  private Optional<JsonElement> member(String name) {
    requestedNames.add(name);
    return Optional.ofNullable(object.get(name));
  }

  private Optional<JsonPrimitive> primitive(String name) {
    return member(name)
        .filter(e -> e.isJsonPrimitive() || reportWrongType(name, "a single value"))
        .map(JsonElement::getAsJsonPrimitive);
  }

  /** Adds a finding and returns false, for use in filters. */
  private boolean reportWrongType(String name, String expected) {
    report(name, "expected " + expected + ", not " + quote(object.get(name)));
    return false;
  }

  private static String shorten(String text) {
    return text.length() <= MAXIMUM_QUOTED_CHARACTERS
        ? text
        : text.substring(0, MAXIMUM_QUOTED_CHARACTERS) + "…";
  }
}
