package org.chicorylane.internal.topology;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.chicorylane.internal.runtime.Scheduler;

/**
 * The backend servers that have an entry in the platform's store. A server whose entry is missing
 * is removed only after a grace period during which the store was reachable, because entries expire
 * while the store is unavailable.
 *
 * <p>Confined to the instance's thread.
 */
public final class ServerDirectory {

  /**
   * How long an entry may be missing. The store's operators state that expired entries are back
   * about 2 s after the store returns.
   */
  private static final Duration MISSING_GRACE = Duration.ofMillis(2_400);

  private final Scheduler scheduler;
  private final Runnable onChange;
  private final Map<String, BackendServer> servers = new HashMap<>();
  private final Map<String, Scheduler.Timer> missing = new HashMap<>();

  /**
   * Creates an empty directory.
   *
   * @param onChange called after each change
   */
  public ServerDirectory(Scheduler scheduler, Runnable onChange) {
    this.scheduler = scheduler;
    this.onChange = onChange;
  }

  /** Adds a server or updates its entry; ends its grace period if the entry was missing. */
  public void put(BackendServer server) {
    Scheduler.Timer timer = missing.remove(server.id());
    if (timer != null) {
      timer.cancel();
    }
    BackendServer before = servers.put(server.id(), server);
    if (!server.equals(before)) {
      onChange.run();
    }
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
  public void replaceAll(Map<String, BackendServer> present) {
    new ArrayList<>(servers.keySet())
        .stream().filter(id -> !present.containsKey(id)).forEach(this::markMissing);
    present.values().forEach(this::put);
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
    servers.remove(id);
    onChange.run();
  }

  /** Returns the servers of a group, including those in their grace period. */
  public List<BackendServer> ofGroup(String group) {
    return servers.values().stream().filter(s -> s.group().equals(group)).toList();
  }
}
