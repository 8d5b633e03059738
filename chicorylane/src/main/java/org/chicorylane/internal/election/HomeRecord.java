package org.chicorylane.internal.election;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.chicorylane.internal.json.JsonNumbers;
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
 * @param members the addresses, by server id, of the servers that may have confirmed commits of the
 *     primary
 * @param outstanding the present primary if further orders to promote it may be carried out later,
 *     null if there are none
 * @param writer the unique id of the write
 * @param settledEra the era of the store in which all leases of earlier eras were known to have
 *     ended when this record was written, 0 if that was not known
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
    Map<String, String> members,
    @Nullable String outstanding,
    String writer,
    long settledEra) {

  /** Prefix of the keys under which records are stored. */
  public static final String KEY_PREFIX = "lane/groups/";

  /** The largest number in a record; terms and epochs still grow above it without overflow. */
  private static final long MAX_NUMBER = Long.MAX_VALUE / 2;

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
    members = Map.copyOf(members);
  }

  /**
   * Returns the first record of a group.
   *
   * @param writer the unique id of the write
   */
  static HomeRecord first(Holder home, @Nullable Holder successor, String writer) {
    return new Builder(1, home, writer).successor(successor).build();
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
    return copy(newWriter)
        .epoch(epoch + 1)
        .home(newHome)
        .successor(newSuccessor)
        .limitedPriorHomes(prior)
        .build();
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
      Map<String, String> newMembers,
      @Nullable String newOutstanding,
      String newWriter) {
    Builder copy =
        copy(newWriter)
            .primary(newPrimaryId, newTerm)
            .promoting(null)
            .members(newMembers)
            .outstanding(newOutstanding);
    return priorHomesStopped ? copy.noPriorHomes().build() : copy.build();
  }

  /** Returns this record with other members and outstanding orders. */
  HomeRecord withMembers(
      Map<String, String> newMembers, @Nullable String newOutstanding, String newWriter) {
    return copy(newWriter).members(newMembers).outstanding(newOutstanding).build();
  }

  /** Returns this record with a pending promotion, for use after all earlier homes have stopped. */
  HomeRecord withPromotion(String serverId, String newWriter) {
    return copy(newWriter).promoting(serverId).noPriorHomes().build();
  }

  /** Returns this record without the successor, which becomes an earlier home. */
  HomeRecord withoutSuccessor(String newWriter) {
    List<Holder> prior = new ArrayList<>(priorHomes);
    if (successor != null) {
      prior.add(successor);
    }
    return copy(newWriter).successor(null).limitedPriorHomes(prior).build();
  }

  /** Returns this record as it is written by {@code newWriter}, with the era that is settled. */
  HomeRecord rewritten(long newSettledEra, String newWriter) {
    return copy(newWriter).settledEra(newSettledEra).build();
  }

  /**
   * Returns this record, which the store was restored with, completed by what is known from before:
   * the primary of the highest term, a promotion that may still take effect, the instances that
   * were homes or successors then, and the members. Its home and successor are kept.
   */
  HomeRecord completedBy(HomeRecord known) {
    boolean knownIsLater = known.primaryId != null && known.term >= term;
    String laterPromoting = knownIsLater ? known.promoting : promoting;
    boolean keepsOwnPromotion = laterPromoting == null && known.term == term;
    Map<String, String> allMembers = new HashMap<>(members);
    allMembers.putAll(known.members);
    Builder copy =
        copy(writer)
            .epoch(Math.max(epoch, known.epoch))
            .promoting(keepsOwnPromotion ? promoting : laterPromoting)
            .members(allMembers)
            .outstanding(knownIsLater ? known.outstanding : outstanding)
            .limitedPriorHomes(priorHomesWith(known));
    if (knownIsLater) {
      copy.primary(known.primaryId, known.term);
    }
    return copy.build();
  }

  private List<Holder> priorHomesWith(HomeRecord known) {
    List<Holder> added = new ArrayList<>(known.priorHomes);
    if (known.successor != null) {
      added.add(known.successor);
    }
    added.add(known.home);
    added.removeIf(h -> h.name().equals(home.name()) || h.equals(successor));
    return Stream.concat(priorHomes.stream(), added.stream()).distinct().toList();
  }

  private Builder copy(String newWriter) {
    Builder copy = new Builder(epoch, home, newWriter);
    copy.primaryId = primaryId;
    copy.term = term;
    copy.promoting = promoting;
    copy.successor = successor;
    copy.priorHomes = priorHomes;
    copy.hasOmittedPriorHomes = hasOmittedPriorHomes;
    copy.members = members;
    copy.outstanding = outstanding;
    copy.settledEra = settledEra;
    return copy;
  }

  /** Builds a record; all that is not set is empty. */
  static final class Builder {
    private long epoch;
    private Holder home;
    private final String writer;
    private @Nullable String primaryId;
    private long term;
    private @Nullable String promoting;
    private @Nullable Holder successor;
    private List<Holder> priorHomes = List.of();
    private boolean hasOmittedPriorHomes;
    private Map<String, String> members = Map.of();
    private @Nullable String outstanding;
    private long settledEra;

    Builder(long epoch, Holder home, String writer) {
      this.epoch = epoch;
      this.home = home;
      this.writer = writer;
    }

    Builder epoch(long newEpoch) {
      epoch = newEpoch;
      return this;
    }

    Builder home(Holder newHome) {
      home = newHome;
      return this;
    }

    Builder primary(@Nullable String serverId, long newTerm) {
      primaryId = serverId;
      term = newTerm;
      return this;
    }

    Builder promoting(@Nullable String serverId) {
      promoting = serverId;
      return this;
    }

    Builder successor(@Nullable Holder newSuccessor) {
      successor = newSuccessor;
      return this;
    }

    Builder noPriorHomes() {
      priorHomes = List.of();
      hasOmittedPriorHomes = false;
      return this;
    }

    /**
     * Sets the prior homes, without processes that were followed by another one of the same name,
     * since these have ended, and without the oldest if there are too many.
     */
    Builder limitedPriorHomes(List<Holder> holders) {
      Map<String, Holder> byName = new LinkedHashMap<>();
      for (Holder h : holders) {
        byName.remove(h.name());
        byName.put(h.name(), h);
      }
      List<Holder> latest = List.copyOf(byName.values());
      int firstKept = Math.max(0, latest.size() - MAX_PRIOR_HOMES);
      priorHomes = latest.subList(firstKept, latest.size());
      hasOmittedPriorHomes = hasOmittedPriorHomes || firstKept > 0;
      return this;
    }

    Builder omittedPriorHomes() {
      hasOmittedPriorHomes = true;
      return this;
    }

    Builder members(Map<String, String> newMembers) {
      members = newMembers;
      return this;
    }

    Builder outstanding(@Nullable String serverId) {
      outstanding = serverId;
      return this;
    }

    Builder settledEra(long era) {
      settledEra = era;
      return this;
    }

    HomeRecord build() {
      return new HomeRecord(
          epoch,
          home,
          primaryId,
          term,
          promoting,
          successor,
          priorHomes,
          hasOmittedPriorHomes,
          members,
          outstanding,
          writer,
          settledEra);
    }
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
    JsonObject addresses = new JsonObject();
    new TreeMap<>(members).forEach(addresses::addProperty);
    o.add("members", addresses);
    o.addProperty("outstanding", outstanding);
    o.addProperty("writer", writer);
    o.addProperty("settled_era", settledEra);
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
    Map<String, String> members = new HashMap<>();
    if (o.has("members")) {
      o.getAsJsonObject("members")
          .asMap()
          .forEach((id, address) -> members.put(id, address.getAsString()));
    }
    Builder record =
        new Builder(number(o, "epoch"), readHolder(o.get("home")), o.get("writer").getAsString())
            .primary(readText(o, "primary"), number(o, "term"))
            .promoting(readText(o, "promoting"))
            .successor(o.has("successor") ? readHolder(o.get("successor")) : null)
            .limitedPriorHomes(prior)
            .members(members)
            .outstanding(readText(o, "outstanding"))
            .settledEra(JsonNumbers.integer(o, "settled_era", 0, MAX_NUMBER, 0));
    boolean omitted = o.has("prior_omitted") && o.get("prior_omitted").getAsBoolean();
    return omitted ? record.omittedPriorHomes().build() : record.build();
  }

  private static long number(JsonObject o, String name) {
    return JsonNumbers.integer(o, name, 0, MAX_NUMBER);
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
