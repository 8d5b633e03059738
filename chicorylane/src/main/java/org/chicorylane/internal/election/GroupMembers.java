package org.chicorylane.internal.election;

import java.time.Duration;
import java.util.HashMap;
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

  /** Time after which a server without an entry is assumed to be gone for good. */
  static final Duration MISSING_LIMIT = Duration.ofSeconds(60);

  private final Map<String, BackendServer> listed = new HashMap<>();
  private final Map<String, Missing> missing = new HashMap<>();

  private record Missing(long sinceNanos, String address) {}

  /** Applies the servers that have an entry now. */
  void update(List<BackendServer> servers, long nowNanos) {
    Map<String, BackendServer> before = new HashMap<>(listed);
    listed.clear();
    servers.forEach(s -> listed.put(s.id(), s));
    before.forEach((id, server) -> missing.put(id, new Missing(nowNanos, server.address())));
    removeReplaced();
  }

  /**
   * Adds members that another instance has recorded.
   *
   * @param addresses the members' addresses by server id
   */
  void add(Map<String, String> addresses, long nowNanos) {
    addresses.forEach((id, address) -> missing.putIfAbsent(id, new Missing(nowNanos, address)));
    removeReplaced();
  }

  /** Forgets missing servers that have an entry, or whose address another server has now. */
  private void removeReplaced() {
    missing.keySet().removeAll(listed.keySet());
    missing
        .values()
        .removeIf(m -> listed.values().stream().anyMatch(s -> s.address().equals(m.address())));
  }

  private void forgetExpired(long nowNanos) {
    missing.values().removeIf(m -> nowNanos - m.sinceNanos() > MISSING_LIMIT.toNanos());
  }

  /** Returns the members that have no entry at present. */
  Set<String> missing(long nowNanos) {
    forgetExpired(nowNanos);
    return Set.copyOf(missing.keySet());
  }

  /** Returns the addresses of all members by server id. */
  Map<String, String> all(long nowNanos) {
    Map<String, String> all = new HashMap<>();
    forgetExpired(nowNanos);
    missing.forEach((id, m) -> all.put(id, m.address()));
    listed.forEach((id, server) -> all.put(id, server.address()));
    return all;
  }
}
