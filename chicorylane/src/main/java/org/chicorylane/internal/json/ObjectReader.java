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
 * Reads the members of one JSON object and reports what is wrong with them.
 *
 * <pre>{@code
 * String name = root.string("name").orElse("unnamed");
 * long port = root.integer("port", 1, 65_535).orElse(7_400L);
 * root.reportUnknownMembers(); // reports members that nobody asked for
 * }</pre>
 *
 * <p>A member that is absent or wrong reads as empty; only the wrong one becomes a finding. Not
 * thread-safe.
 */
public final class ObjectReader {
  private static final int MAXIMUM_QUOTE = 60;
  private static final Pattern PLAIN_NAME = Pattern.compile("[A-Za-z_][A-Za-z0-9_]*");

  private final String source;
  private final String path;
  private final JsonObject object;
  private final List<Finding> findings;
  private final Set<String> known = new HashSet<>();

  /**
   * Makes a reader.
   *
   * @param source the file or resource, for the findings
   * @param path the JSON path of the object
   * @param object the object
   * @param findings receives what is wrong
   */
  public ObjectReader(String source, String path, JsonObject object, List<Finding> findings) {
    this.source = source;
    this.path = path;
    this.object = object;
    this.findings = findings;
  }

  /** Returns whether the member stands in the object, whatever its value. */
  public boolean has(String name) {
    return object.has(name);
  }

  /** Returns the JSON path of a member. */
  public String pathOf(String name) {
    return PLAIN_NAME.matcher(name).matches() ? path + "." + name : path + "['" + name + "']";
  }

  /** Reports that something is wrong with a member. */
  public void report(String name, String message) {
    findings.add(new Finding(source, pathOf(name), message));
  }

  /** Reports the member if it is absent. */
  public ObjectReader require(String name) {
    if (!object.has(name)) {
      report(name, "\"" + name + "\" is missing");
    }
    return this;
  }

  /** Returns a string that is not empty. */
  public Optional<String> string(String name) {
    Optional<JsonPrimitive> text =
        primitive(name).filter(p -> p.isString() || wrongType(name, "a string"));
    if (text.isPresent() && text.get().getAsString().isEmpty()) {
      report(name, "expected a string that is not empty");
      return Optional.empty();
    }
    return text.map(JsonPrimitive::getAsString);
  }

  /** Returns a string whose value no finding quotes. */
  public Optional<String> secret(String name) {
    known.add(name);
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
        .filter(p -> p.isBoolean() || wrongType(name, "true or false"))
        .map(JsonPrimitive::getAsBoolean);
  }

  /** Returns an integer between the bounds, both included. */
  public Optional<Long> integer(String name, long minimum, long maximum) {
    Optional<JsonPrimitive> number =
        primitive(name).filter(p -> p.isNumber() || wrongType(name, "an integer"));
    if (number.isEmpty()) {
      return Optional.empty();
    }
    try {
      String text = number.get().getAsString();
      long value = text.length() > MAXIMUM_QUOTE ? 0 : new BigDecimal(text).longValueExact();
      if (text.length() <= MAXIMUM_QUOTE && value >= minimum && value <= maximum) {
        return Optional.of(value);
      }
    } catch (ArithmeticException | NumberFormatException e) {
      // Reported below: neither a fraction nor a huge number is inside the bounds.
    }
    report(
        name,
        "expected an integer from " + minimum + " to " + maximum + ", not " + quote(number.get()));
    return Optional.empty();
  }

  /** Returns a nested object. */
  public Optional<ObjectReader> object(String name) {
    return member(name)
        .filter(e -> e.isJsonObject() || wrongType(name, "an object"))
        .map(e -> new ObjectReader(source, pathOf(name), e.getAsJsonObject(), findings));
  }

  /** Returns an array's elements as they are. */
  public Optional<JsonArray> array(String name) {
    return member(name)
        .filter(e -> e.isJsonArray() || wrongType(name, "an array"))
        .map(JsonElement::getAsJsonArray);
  }

  /** Returns the objects of an array, reporting the elements that are none. */
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

  /** Reports every member that was never asked for. */
  public void reportUnknownMembers() {
    for (String name : object.keySet()) {
      if (!known.contains(name)) {
        report(name, "unknown field \"" + clip(name) + "\"");
      }
    }
  }

  /**
   * Returns the element's text as findings quote it, shortened when long; arrays and objects, which
   * may hold secrets, only by their kind.
   */
  public static String quote(JsonElement e) {
    if (e.isJsonArray() && !e.getAsJsonArray().isEmpty()) {
      return "an array";
    }
    if (e.isJsonObject() && !e.getAsJsonObject().isEmpty()) {
      return "an object";
    }
    return clip(e.toString());
  }

  /** Quotes an element where an object was expected; a string there may be a secret. */
  private static String quoteUnlessText(JsonElement e) {
    boolean text = e instanceof JsonPrimitive p && p.isString();
    return text ? "a string" : quote(e);
  }

  private Optional<ObjectReader> element(String name, int index, JsonElement e) {
    String place = pathOf(name) + "[" + index + "]";
    if (!e.isJsonObject()) {
      findings.add(new Finding(source, place, "expected an object, not " + quoteUnlessText(e)));
      return Optional.empty();
    }
    return Optional.of(new ObjectReader(source, place, e.getAsJsonObject(), findings));
  }

  private Optional<JsonElement> member(String name) {
    known.add(name);
    return Optional.ofNullable(object.get(name));
  }

  private Optional<JsonPrimitive> primitive(String name) {
    return member(name)
        .filter(e -> e.isJsonPrimitive() || wrongType(name, "a single value"))
        .map(JsonElement::getAsJsonPrimitive);
  }

  private boolean wrongType(String name, String expected) {
    report(name, "expected " + expected + ", not " + quote(object.get(name)));
    return false;
  }

  private static String clip(String text) {
    return text.length() <= MAXIMUM_QUOTE ? text : text.substring(0, MAXIMUM_QUOTE) + "…";
  }
}
