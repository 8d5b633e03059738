package org.chicorylane.internal.tenure;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.chicorylane.internal.platform.KeyValueEntry;
import org.jspecify.annotations.Nullable;

/**
 * What all instances agree on about a database group, by compare-and-swap in the key-value store.
 *
 * <p>Immutable.
 *
 * @param epoch grows with each change of home
 * @param home the instance that is the home
 * @param primaryId the primary, null before the first one is known
 * @param term the primary's term
 * @param promoting a server that is being promoted, null if none is
 * @param successor the instance that may serve in the home's place, on the same primary, while the
 *     home is lost and the store cannot record a new one; null if none may
 * @param priorHomes earlier homes that may not know that they are replaced
 * @param writer an id of the write, which no other write has
 */
public record HomeRecord(
    long epoch,
    Holder home,
    @Nullable String primaryId,
    long term,
    @Nullable String promoting,
    @Nullable Holder successor,
    List<Holder> priorHomes,
    String writer) {

  /** Prefix of the keys that hold records. */
  public static final String KEY_PREFIX = "lane/groups/";

  /**
   * An instance that is or was a home.
   *
   * @param name the instance's name
   * @param incarnation which of its lives
   * @param address host and port for other instances
   */
  public record Holder(String name, String incarnation, String address) {}

  /** Copies the list. */
  public HomeRecord {
    priorHomes = List.copyOf(priorHomes);
  }

  /** Returns the key of a group's record. */
  public static String keyOf(String group) {
    return KEY_PREFIX + group;
  }

  /** Returns the text that the store holds. */
  public String encode() {
    JsonObject o = new JsonObject();
    o.addProperty("epoch", epoch);
    o.add("home", encodeHolder(home));
    o.addProperty("primary", primaryId);
    o.addProperty("term", term);
    o.addProperty("promoting", promoting);
    if (successor != null) {
      o.add("successor", encodeHolder(successor));
    }
    JsonArray prior = new JsonArray();
    priorHomes.forEach(h -> prior.add(encodeHolder(h)));
    o.add("prior", prior);
    o.addProperty("writer", writer);
    return o.toString();
  }

  /** Reads a record; empty if the text is none. */
  public static Optional<HomeRecord> decode(KeyValueEntry entry) {
    try {
      JsonObject o = JsonParser.parseString(entry.value()).getAsJsonObject();
      List<Holder> prior = new ArrayList<>();
      o.getAsJsonArray("prior").forEach(e -> prior.add(holder(e)));
      return Optional.of(
          new HomeRecord(
              o.get("epoch").getAsLong(),
              holder(o.get("home")),
              text(o, "primary"),
              o.get("term").getAsLong(),
              text(o, "promoting"),
              o.has("successor") ? holder(o.get("successor")) : null,
              prior,
              o.get("writer").getAsString()));
    } catch (JsonParseException
        | IllegalStateException
        | NullPointerException
        | UnsupportedOperationException
        | NumberFormatException e) {
      return Optional.empty();
    }
  }

  private static @Nullable String text(JsonObject o, String name) {
    JsonElement e = o.get(name);
    return e == null || e.isJsonNull() ? null : e.getAsString();
  }

  private static Holder holder(JsonElement e) {
    JsonObject o = e.getAsJsonObject();
    return new Holder(
        o.get("name").getAsString(),
        o.get("incarnation").getAsString(),
        o.get("address").getAsString());
  }

  private static JsonObject encodeHolder(Holder holder) {
    JsonObject o = new JsonObject();
    o.addProperty("name", holder.name());
    o.addProperty("incarnation", holder.incarnation());
    o.addProperty("address", holder.address());
    return o;
  }
}
