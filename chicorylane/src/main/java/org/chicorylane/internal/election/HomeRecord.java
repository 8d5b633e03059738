package org.chicorylane.internal.election;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.chicorylane.internal.json.UntrustedJson;
import org.chicorylane.internal.platform.KeyValueEntry;
import org.jspecify.annotations.Nullable;

/**
 * Shared state of a database group: its home, primary and pending promotion. All instances agree on
 * it by compare-and-swap in the key-value store.
 *
 * <p>Immutable.
 *
 * @param epoch number that grows with each change of home
 * @param home the instance that is the home
 * @param primaryId the primary's server id, null before the first primary is known
 * @param term the primary's term
 * @param promoting the id of the server that is being promoted, null if none is
 * @param successor the instance that may serve on the same primary in place of the home, while the
 *     home is lost and the store cannot record a new one; null if there is none
 * @param priorHomes earlier homes that may not have learned that they were replaced
 * @param hasOmittedPriorHomes whether there are further such homes that the record does not list
 * @param members the ids of the servers that may have confirmed commits of the primary
 * @param writer the unique id of the write
 */
public record HomeRecord(
    long epoch,
    Holder home,
    @Nullable String primaryId,
    long term,
    @Nullable String promoting,
    @Nullable Holder successor,
    List<Holder> priorHomes,
    boolean hasOmittedPriorHomes,
    Set<String> members,
    String writer) {

  /** Prefix of the keys under which records are stored. */
  public static final String KEY_PREFIX = "lane/groups/";

  /** Maximum number of earlier homes that a record lists. */
  private static final int MAX_PRIOR_HOMES = 16;

  /**
   * An instance that is or was a home.
   *
   * @param name the instance's name
   * @param incarnation id of the instance's process start
   * @param address host and port at which other instances reach it
   */
  public record Holder(String name, String incarnation, String address) {

    // Written by hand because generated record methods link method handles at process start.
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

  /** Creates a record with copies of the collections. */
  public HomeRecord {
    priorHomes = List.copyOf(priorHomes);
    members = Set.copyOf(members);
  }

  /**
   * Returns the first record of a group.
   *
   * @param writer the unique id of the write
   */
  static HomeRecord first(Holder home, @Nullable Holder successor, String writer) {
    return new HomeRecord(1, home, null, 0, null, successor, List.of(), false, Set.of(), writer);
  }

  /**
   * Returns this record with another home. The current home and successor become prior homes, since
   * they may not have learned that they were replaced.
   */
  HomeRecord withHome(Holder newHome, @Nullable Holder newSuccessor, String newWriter) {
    List<Holder> prior = new ArrayList<>(priorHomes);
    prior.add(home);
    if (successor != null) {
      prior.add(successor);
    }
    prior.removeIf(h -> h.name().equals(newHome.name()));
    List<Holder> latest = latestOfEachName(prior);
    int firstKept = Math.max(0, latest.size() - MAX_PRIOR_HOMES);
    return new HomeRecord(
        epoch + 1,
        newHome,
        primaryId,
        term,
        promoting,
        newSuccessor,
        latest.subList(firstKept, latest.size()),
        hasOmittedPriorHomes || firstKept > 0,
        members,
        newWriter);
  }

  /** Drops processes that were followed by another one of the same name, since they have ended. */
  private static List<Holder> latestOfEachName(List<Holder> holders) {
    Map<String, Holder> byName = new LinkedHashMap<>();
    for (Holder h : holders) {
      byName.remove(h.name());
      byName.put(h.name(), h);
    }
    return List.copyOf(byName.values());
  }

  /**
   * Returns this record with a primary that leads its term and without a pending promotion.
   *
   * @param priorHomesStopped whether all earlier homes have stopped, so that they are dropped from
   *     the record
   */
  HomeRecord withPrimary(
      String newPrimaryId,
      long newTerm,
      boolean priorHomesStopped,
      Set<String> newMembers,
      String newWriter) {
    return new HomeRecord(
        epoch,
        home,
        newPrimaryId,
        newTerm,
        null,
        successor,
        priorHomesStopped ? List.of() : priorHomes,
        !priorHomesStopped && hasOmittedPriorHomes,
        newMembers,
        newWriter);
  }

  /** Returns this record with other members. */
  HomeRecord withMembers(Set<String> newMembers, String newWriter) {
    return new HomeRecord(
        epoch,
        home,
        primaryId,
        term,
        promoting,
        successor,
        priorHomes,
        hasOmittedPriorHomes,
        newMembers,
        newWriter);
  }

  /** Returns this record with a pending promotion, for use after all earlier homes have stopped. */
  HomeRecord withPromotion(String serverId, String newWriter) {
    return new HomeRecord(
        epoch, home, primaryId, term, serverId, successor, List.of(), false, members, newWriter);
  }

  /** Returns this record without the successor, which becomes an earlier home. */
  HomeRecord withoutSuccessor(String newWriter) {
    List<Holder> prior = new ArrayList<>(priorHomes);
    if (successor != null) {
      prior.add(successor);
    }
    return new HomeRecord(
        epoch,
        home,
        primaryId,
        term,
        promoting,
        null,
        prior,
        hasOmittedPriorHomes,
        members,
        newWriter);
  }

  /** Returns the key of a group's record. */
  public static String keyOf(String group) {
    return KEY_PREFIX + group;
  }

  /** Returns the JSON text to store. */
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
    o.addProperty("prior_omitted", hasOmittedPriorHomes);
    JsonArray memberIds = new JsonArray();
    members.stream().sorted().forEach(memberIds::add);
    o.add("members", memberIds);
    o.addProperty("writer", writer);
    return o.toString();
  }

  /**
   * Parses a stored record; returns empty if the text is not a valid record, and passes the problem
   * to {@code onProblem}.
   */
  public static Optional<HomeRecord> decode(KeyValueEntry entry, Consumer<String> onProblem) {
    return UntrustedJson.read(entry.value(), HomeRecord::readRecord, onProblem);
  }

  private static HomeRecord readRecord(JsonObject o) {
    List<Holder> prior = new ArrayList<>();
    o.getAsJsonArray("prior").forEach(e -> prior.add(readHolder(e)));
    Set<String> members = new HashSet<>();
    if (o.has("members")) {
      o.getAsJsonArray("members").forEach(e -> members.add(e.getAsString()));
    }
    return new HomeRecord(
        o.get("epoch").getAsLong(),
        readHolder(o.get("home")),
        readText(o, "primary"),
        o.get("term").getAsLong(),
        readText(o, "promoting"),
        o.has("successor") ? readHolder(o.get("successor")) : null,
        prior,
        o.has("prior_omitted") && o.get("prior_omitted").getAsBoolean(),
        members,
        o.get("writer").getAsString());
  }

  private static @Nullable String readText(JsonObject o, String name) {
    JsonElement e = o.get(name);
    return e == null || e.isJsonNull() ? null : e.getAsString();
  }

  private static Holder readHolder(JsonElement e) {
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
