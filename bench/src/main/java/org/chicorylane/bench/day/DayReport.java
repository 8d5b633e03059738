package org.chicorylane.bench.day;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.chicorylane.internal.json.UntrustedJson;

/**
 * The figures of one played day. The names of fields in the users' report are decoded here and
 * nowhere else.
 *
 * @param worth the credit earned as a share of the credit owed, less all prices
 * @param prices what was taken off, by name, in shares of the credit owed
 * @param windows the windows in order of time
 */
record DayReport(double worth, Map<String, Double> prices, List<DayWindow> windows) {

  private static final int PRICE_NAME = 0;
  private static final int PRICE_SHARE = 2;

  /**
   * Reads a report.
   *
   * @throws IOException if the file cannot be read or is no report; the message names the file
   */
  static DayReport read(Path file) throws IOException {
    List<String> problems = new ArrayList<>();
    return UntrustedJson.read(Files.readString(file), DayReport::decode, problems::add)
        .orElseThrow(() -> new IOException(file + ": not a report of a day: " + problems.get(0)));
  }

  private static DayReport decode(JsonObject o) {
    Map<String, Double> prices = new LinkedHashMap<>();
    for (JsonElement e : field(o, "prices").getAsJsonArray()) {
      JsonArray price = e.getAsJsonArray();
      prices.put(price.get(PRICE_NAME).getAsString(), price.get(PRICE_SHARE).getAsDouble());
    }
    List<DayWindow> windows = new ArrayList<>();
    for (JsonElement e : field(o, "windows").getAsJsonArray()) {
      windows.add(decodeWindow(e.getAsJsonObject()));
    }
    return new DayReport(field(o, "G").getAsDouble(), prices, List.copyOf(windows));
  }

  private static DayWindow decodeWindow(JsonObject o) {
    return new DayWindow(
        field(o, "name").getAsInt(),
        field(o, "n").getAsInt(),
        field(o, "in_aim").getAsInt(),
        field(o, "late").getAsInt(),
        field(o, "refused").getAsInt(),
        field(o, "failed").getAsInt(),
        // Here "worth" is before prices, unlike a day's.
        field(o, "worth").getAsDouble());
  }

  private static JsonElement field(JsonObject o, String name) {
    JsonElement value = o.get(name);
    if (value == null) {
      throw new IllegalArgumentException("no field \"" + name + "\"");
    }
    return value;
  }
}
