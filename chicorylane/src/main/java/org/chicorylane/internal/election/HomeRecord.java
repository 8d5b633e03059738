package org.chicorylane.internal.election;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.chicorylane.internal.json.UntrustedJson;
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

  /** Earlier homes kept; more than so many changes of home within the validity are not expected. */
  private static final int PRIOR_HOMES_KEPT = 6;

  /**
   * An instance that is or was a home.
   *
   * @param name the instance's name
   * @param incarnation which of its lives
   * @param address host and port for other instances
   */
  public record Holder(String name, String incarnation, String address) {

    // Written out so that a starting process links no method handles for it.
    @Override
    public boolean equals(@Nullable Object other) {
      return other instanceof Holder h
          && name.equals(h.name)
          && incarnation.equals(h.incarnation)
          && address.equals(h.address);
    }

    @Override
    public int hashCode() {
      return 31 * name.hashCode() + incarnation.hashCode();
    }
  }

  /** Copies the list. */
  public HomeRecord {
    priorHomes = List.copyOf(priorHomes);
  }

  /**
   * Returns the first record of a group.
   *
   * @param writer an id that no other write has
   */
  static HomeRecord first(Holder home, @Nullable Holder successor, String writer) {
    return new HomeRecord(1, home, null, 0, null, successor, List.of(), writer);
  }

  /** Returns this record with another home; the present one may not know that it is replaced. */
  HomeRecord takenBy(Holder newHome, @Nullable Holder newSuccessor, String newWriter) {
    List<Holder> prior = new ArrayList<>(priorHomes);
    prior.add(home);
    if (successor != null) {
      prior.add(successor);
    }
    prior.removeIf(h -> h.name().equals(newHome.name()));
    int drop = Math.max(0, prior.size() - PRIOR_HOMES_KEPT);
    return new HomeRecord(
        epoch + 1,
        newHome,
        primaryId,
        term,
        promoting,
        newSuccessor,
        prior.subList(drop, prior.size()),
        newWriter);
  }

  /**
   * Returns this record with a primary that leads.
   *
   * @param alone whether all earlier homes have stopped, and need not be remembered
   */
  HomeRecord ledBy(String newPrimaryId, long newTerm, boolean alone, String newWriter) {
    return new HomeRecord(
        epoch,
        home,
        newPrimaryId,
        newTerm,
        null,
        successor,
        alone ? List.of() : priorHomes,
        newWriter);
  }

  /** Returns this record with the intent to promote a server; all earlier homes have stopped. */
  HomeRecord promoting(String serverId, String newWriter) {
    return new HomeRecord(epoch, home, primaryId, term, serverId, successor, List.of(), newWriter);
  }

  /** Returns this record without a successor, which counts as an earlier home from now on. */
  HomeRecord withoutSuccessor(String newWriter) {
    List<Holder> prior = new ArrayList<>(priorHomes);
    if (successor != null) {
      prior.add(successor);
    }
    return new HomeRecord(epoch, home, primaryId, term, promoting, null, prior, newWriter);
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

  /** Reads a record; empty if the text is none, which {@code onProblem} is told. */
  public static Optional<HomeRecord> decode(KeyValueEntry entry, Consumer<String> onProblem) {
    return UntrustedJson.read(entry.value(), HomeRecord::read, onProblem);
  }

  private static HomeRecord read(JsonObject o) {
    List<Holder> prior = new ArrayList<>();
    o.getAsJsonArray("prior").forEach(e -> prior.add(holder(e)));
    return new HomeRecord(
        o.get("epoch").getAsLong(),
        holder(o.get("home")),
        text(o, "primary"),
        o.get("term").getAsLong(),
        text(o, "promoting"),
        o.has("successor") ? holder(o.get("successor")) : null,
        prior,
        o.get("writer").getAsString());
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
