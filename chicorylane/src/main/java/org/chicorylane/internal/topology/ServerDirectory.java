package org.chicorylane.internal.topology;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import org.chicorylane.internal.platform.RevisionTimes;
import org.chicorylane.internal.runtime.DecisionLog;
import org.chicorylane.internal.runtime.Scheduler;
import org.jspecify.annotations.Nullable;

/**
 * The backend servers that have an entry in the platform's store. A server whose entry is missing
 * is removed only after a grace period during which the store was reachable, because entries expire
 * while the store is unavailable.
 *
 * <p>Remembers since when each server has been draining, by a time that is never too late: a server
 * whose drain began at an unknown time counts as one that may take no new work.
 *
 * <p>Confined to the instance's thread.
 */
public final class ServerDirectory implements DrainLimit {

  /**
   * How long an entry may be missing. The store's operators state that expired entries are back
   * about 2 s after the store returns.
   */
  private static final Duration MISSING_GRACE = Duration.ofMillis(2_400);

  /** Time allowed for a statement to arrive at its server after it was sent. */
  private static final Duration ARRIVAL_MARGIN = Duration.ofMillis(500);

  /** What another instance knows must be better by this much, as replies take varying times. */
  private static final long MINIMUM_GAIN_NANOS = Duration.ofMillis(100).toNanos();

  /**
   * A server's entry.
   *
   * @param revision the store's revision at which the entry was written last
   */
  public record Entry(BackendServer server, long revision) {}

  private final Scheduler scheduler;
  private final RevisionTimes revisionTimes;
  private final DecisionLog log;
  private final Consumer<String> onChange;
  private final Map<String, BackendServer> servers = new HashMap<>();
  private final Map<String, Scheduler.Timer> missing = new HashMap<>();

  /** Times before which no drain began, by the id of the server; without those not known. */
  private final Map<String, Long> drainStartNanos = new HashMap<>();

  private final long drainNanos;

  /**
   * Creates an empty directory.
   *
   * @param revisionTimes relates the entries' revisions to the scheduler's clock
   * @param drainTimeout the time in which a draining server takes new work
   * @param onChange called with the group's name after each change of its servers
   */
  public ServerDirectory(
      Scheduler scheduler,
      RevisionTimes revisionTimes,
      DecisionLog log,
      Duration drainTimeout,
      Consumer<String> onChange) {
    this.scheduler = scheduler;
    this.revisionTimes = revisionTimes;
    this.log = log;
    this.onChange = onChange;
    this.drainNanos = drainTimeout.minus(ARRIVAL_MARGIN).toNanos();
  }

  /** Applies a change of an entry; ends the server's grace period if its entry was missing. */
  public void put(Entry entry) {
    put(entry, true).forEach(onChange);
  }

  /**
   * Adds a server or updates its entry.
   *
   * @param isOnlyChange whether the entry has not been written in between since it was last seen
   * @return the groups whose servers have changed
   */
  private Set<String> put(Entry entry, boolean isOnlyChange) {
    BackendServer server = entry.server();
    Scheduler.Timer timer = missing.remove(server.id());
    if (timer != null) {
      timer.cancel();
    }
    BackendServer before = servers.put(server.id(), server);
    trackDrain(before, entry, isOnlyChange);
    if (server.equals(before)) {
      return Set.of();
    }
    boolean moved = before != null && !before.group().equals(server.group());
    return moved ? Set.of(before.group(), server.group()) : Set.of(server.group());
  }

  private void trackDrain(@Nullable BackendServer before, Entry entry, boolean isOnlyChange) {
    BackendServer server = entry.server();
    if (!server.draining()) {
      drainStartNanos.remove(server.id());
      return;
    }
    if (before != null && before.draining()) {
      return;
    }
    OptionalLong start =
        before != null && isOnlyChange
            ? revisionTimes.lowerBound(entry.revision())
            : OptionalLong.empty();
    start.ifPresent(nanos -> drainStartNanos.put(server.id(), nanos));
    logDrain(server, "the store");
  }

  private void logDrain(BackendServer server, String source) {
    OptionalLong age = drainingNanos(server.id());
    log.event(DecisionLog.Priority.BELIEF, "server-draining")
        .with("group", server.group())
        .with("server", server.id())
        .with("since_ms", age.isPresent() ? Long.toString(age.getAsLong() / 1_000_000) : "unknown")
        .with("source", source)
        .write();
  }

  /** Starts the grace period of a server whose entry is missing. */
  public void markMissing(String id) {
    if (!servers.containsKey(id) || missing.containsKey(id)) {
      return;
    }
    missing.put(id, scheduler.schedule(MISSING_GRACE, () -> removeMissing(id)));
  }

  /**
   * Replaces all entries after a complete read of the store. Servers that are not in {@code
   * present} are marked as missing.
   */
  public void replaceAll(Map<String, Entry> present) {
    new ArrayList<>(servers.keySet())
        .stream().filter(id -> !present.containsKey(id)).forEach(this::markMissing);
    Set<String> changed = new LinkedHashSet<>();
    present.values().forEach(e -> changed.addAll(put(e, differsInDrainOnly(e.server()))));
    changed.forEach(onChange);
  }

  /** Returns whether the start of the drain is all that is new about a server. */
  private boolean differsInDrainOnly(BackendServer server) {
    BackendServer before = servers.get(server.id());
    return before != null && before.withDraining(server.draining()).equals(server);
  }

  /**
   * Restarts the grace period of all missing servers, because the store was unavailable until now.
   */
  public void onStoreReturned() {
    Map<String, Scheduler.Timer> restarted = Map.copyOf(missing);
    missing.clear();
    restarted.forEach(
        (id, timer) -> {
          timer.cancel();
          markMissing(id);
        });
  }

  private void removeMissing(String id) {
    missing.remove(id);
    BackendServer removed = servers.remove(id);
    drainStartNanos.remove(id);
    if (removed != null) {
      onChange.accept(removed.group());
    }
  }

  /** Returns whether any server is draining. */
  public boolean isAnyDraining() {
    for (BackendServer server : servers.values()) {
      if (server.draining()) {
        return true;
      }
    }
    return false;
  }

  /** Returns the servers of a group, including those in their grace period. */
  public List<BackendServer> ofGroup(String group) {
    return servers.values().stream().filter(s -> s.group().equals(group)).toList();
  }

  @Override
  public long remainingNanos(BackendServer server) {
    if (!server.draining()) {
      return Long.MAX_VALUE;
    }
    OptionalLong age = drainingNanos(server.id());
    return age.isPresent() ? drainNanos - age.getAsLong() : 0;
  }

  /**
   * Returns the time in nanoseconds for which a server has been draining at most; empty if it is
   * not draining or nothing is known about the beginning.
   */
  public OptionalLong drainingNanos(String id) {
    Long start = drainStartNanos.get(id);
    return start == null ? OptionalLong.empty() : OptionalLong.of(scheduler.nanoTime() - start);
  }

  /** Returns the servers of a group that may take no new work, as far as is known. */
  public List<BackendServer> drainedServers(String group) {
    return ofGroup(group).stream().filter(s -> remainingNanos(s) <= 0).toList();
  }

  /**
   * Learns from another instance that a server's drain did not begin before {@code nanos}. Ignored
   * if the server is not draining or about as much is known.
   */
  public void learnDrainStart(String id, long nanos) {
    BackendServer server = servers.get(id);
    Long known = drainStartNanos.get(id);
    boolean isBetter = known == null || nanos - known > MINIMUM_GAIN_NANOS;
    if (server != null && server.draining() && isBetter) {
      drainStartNanos.put(id, nanos);
      logDrain(server, "another instance");
      onChange.accept(server.group());
    }
  }
}
