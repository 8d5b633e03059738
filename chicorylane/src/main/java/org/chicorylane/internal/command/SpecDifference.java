package org.chicorylane.internal.command;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/**
 * Finds the fields in which the specs of two documents differ. Stateless.
 *
 * <pre>{@code
 * SpecDifference.describe(declared.get("spec"), wanted.get("spec")).forEach(out::println);
 * }</pre>
 */
final class SpecDifference {
  private static final String SECRET_FIELD = "password";

  private SpecDifference() {}

  /** Returns a line for each field that differs, with both values. Secrets are not shown. */
  static List<String> describe(@Nullable JsonElement before, @Nullable JsonElement after) {
    Map<String, String> beforeValues = flatten(before);
    Map<String, String> afterValues = flatten(after);
    TreeSet<String> paths = new TreeSet<>(beforeValues.keySet());
    paths.addAll(afterValues.keySet());
    List<String> lines = new ArrayList<>();
    for (String path : paths) {
      if (!Objects.equals(beforeValues.get(path), afterValues.get(path))) {
        lines.add(
            path
                + ": "
                + formatValue(path, beforeValues)
                + " -> "
                + formatValue(path, afterValues));
      }
    }
    return lines;
  }

  private static String formatValue(String path, Map<String, String> values) {
    String value = values.get(path);
    if (value == null) {
      return "(absent)";
    }
    return path.endsWith("." + SECRET_FIELD) ? "(secret)" : value;
  }

  private static Map<String, String> flatten(@Nullable JsonElement spec) {
    Map<String, String> values = new TreeMap<>();
    if (spec != null) {
      flatten("$.spec", spec, values);
    }
    return values;
  }

  private static void flatten(String path, JsonElement element, Map<String, String> values) {
    if (element instanceof JsonObject object) {
      object.entrySet().forEach(m -> flatten(path + "." + m.getKey(), m.getValue(), values));
    } else if (element instanceof JsonArray array) {
      for (int i = 0; i < array.size(); i++) {
        flatten(path + "[" + i + "]", array.get(i), values);
      }
    } else {
      values.put(path, element.toString());
    }
  }
}
