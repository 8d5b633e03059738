package org.chicorylane.internal.topology;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.chicorylane.internal.runtime.Scheduler;

/**
 * The backend servers that are there, by their entries in the platform's store. An entry that is
 * missing counts as gone only after a grace period during which the store was reachable, since
 * entries lapse while the store is away.
 *
 * <p>Confined to the instance's thread.
 */
public final class ServerDirectory {

  /** Lapsed entries are back about 2 s after the store's return, as its operators state. */
  private static final Duration MISSING_GRACE = Duration.ofMillis(2_400);

  private final Scheduler scheduler;
  private final Runnable onChange;
  private final Map<String, BackendServer> servers = new HashMap<>();
  private final Map<String, Scheduler.Timer> missing = new HashMap<>();

  /**
   * Creates an empty directory.
   *
   * @param onChange told of each change
   */
  public ServerDirectory(Scheduler scheduler, Runnable onChange) {
    this.scheduler = scheduler;
    this.onChange = onChange;
  }

  /** Takes a server's present entry. */
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

  /** Takes note that a server's entry is missing. */
  public void markMissing(String id) {
    if (!servers.containsKey(id) || missing.containsKey(id)) {
      return;
    }
    missing.put(id, scheduler.schedule(MISSING_GRACE, () -> forget(id)));
  }

  /** Replaces all entries, after a complete read. */
  public void replaceAll(Map<String, BackendServer> present) {
    new ArrayList<>(servers.keySet())
        .stream().filter(id -> !present.containsKey(id)).forEach(this::markMissing);
    present.values().forEach(this::put);
  }

  /** Starts the grace period of missing servers again: the store was away. */
  public void onStoreReturned() {
    Map<String, Scheduler.Timer> waiting = Map.copyOf(missing);
    missing.clear();
    waiting.forEach(
        (id, timer) -> {
          timer.cancel();
          markMissing(id);
        });
  }

  private void forget(String id) {
    missing.remove(id);
    servers.remove(id);
    onChange.run();
  }

  /** Returns the servers of a group. */
  public List<BackendServer> ofGroup(String group) {
    return servers.values().stream().filter(s -> s.group().equals(group)).toList();
  }
}
