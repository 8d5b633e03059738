package org.chicorylane.internal.election;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.chicorylane.internal.topology.BackendServer;

/**
 * Remembers the servers that belong to a group, also those without an entry at present: an entry
 * may lapse or be unreadable while its server runs and confirms commits.
 *
 * <p>Confined to the instance's thread.
 */
final class GroupMembers {

  /** Time after which a server without an entry no longer belongs to the group. */
  static final Duration MISSING_LIMIT = Duration.ofSeconds(60);

  private final Map<String, BackendServer> listed = new HashMap<>();
  private final Map<String, Missing> missing = new HashMap<>();

  private record Missing(long sinceNanos, String drainedAddress) {}

  /** Applies the servers that have an entry now. */
  void update(List<BackendServer> servers, long nowNanos) {
    Map<String, BackendServer> before = new HashMap<>(listed);
    listed.clear();
    servers.forEach(s -> listed.put(s.id(), s));
    before.forEach(
        (id, server) ->
            missing.put(id, new Missing(nowNanos, server.draining() ? server.address() : "")));
    missing.keySet().removeAll(listed.keySet());
    // The log of a drained server is transferred to the new server at its address.
    missing
        .values()
        .removeIf(m -> servers.stream().anyMatch(s -> s.address().equals(m.drainedAddress())));
  }

  /** Adds members that another instance has recorded. */
  void add(Collection<String> serverIds, long nowNanos) {
    for (String id : serverIds) {
      if (!listed.containsKey(id)) {
        missing.putIfAbsent(id, new Missing(nowNanos, ""));
      }
    }
  }

  /** Returns the members that have no entry at present. */
  Set<String> missing(long nowNanos) {
    missing.values().removeIf(m -> nowNanos - m.sinceNanos() > MISSING_LIMIT.toNanos());
    return Set.copyOf(missing.keySet());
  }

  /** Returns the ids of all members. */
  Set<String> all(long nowNanos) {
    Set<String> all = new HashSet<>(missing(nowNanos));
    all.addAll(listed.keySet());
    return all;
  }
}
