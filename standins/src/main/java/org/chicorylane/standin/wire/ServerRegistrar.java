package org.chicorylane.standin.wire;

import com.google.gson.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import org.chicorylane.standin.metadata.MetadataEngine;
import org.jspecify.annotations.Nullable;

/**
 * Keeps the servers' entries in the metadata store: writes each change of a server's role or state,
 * and removes the entry of a server that was silent for three heartbeat intervals.
 */
final class ServerRegistrar {

  private static final long EXPIRY_NANOS = TimeUnit.MILLISECONDS.toNanos(3 * 1_200);

  /** The registration of one server. */
  private static final class Registration {
    private long heartbeatNanos;
    private boolean draining;
    private boolean lapsed;
    private String key = "";
    private @Nullable String entry;
  }

  private final MetadataEngine store;
  private final UnaryOperator<String> path;
  private final Map<ReplicatedServer, Registration> registrations = new HashMap<>();

  /** Times at which the store has accepted that a server drains. */
  private final Map<ReplicatedServer, Long> drainingSinceNanos = new ConcurrentHashMap<>();

  /**
   * Creates a registrar.
   *
   * @param path maps a server's address to the one under which instances reach it
   */
  ServerRegistrar(MetadataEngine store, UnaryOperator<String> path) {
    this.store = store;
    this.path = path;
  }

  synchronized void setDraining(ReplicatedServer server, boolean isDraining) {
    registration(server).draining = isDraining;
    if (!isDraining) {
      drainingSinceNanos.remove(server);
    }
    update(server);
  }

  /** Sets whether a server has no entry although it runs. */
  synchronized void setLapsed(ReplicatedServer server, boolean isLapsed) {
    registration(server).lapsed = isLapsed;
    update(server);
  }

  /**
   * Returns the time at which the store accepted that a server drains, by {@link
   * System#nanoTime()}; empty if it does not drain. Takes no lock.
   */
  OptionalLong drainingSinceNanos(ReplicatedServer server) {
    Long since = drainingSinceNanos.get(server);
    return since == null ? OptionalLong.empty() : OptionalLong.of(since);
  }

  /** Returns whether a server has an entry. */
  synchronized boolean isListed(ReplicatedServer server) {
    return registration(server).entry != null;
  }

  /** Writes or removes the entry of a server if that is due. */
  synchronized void update(ReplicatedServer server) {
    Registration r = registration(server);
    long now = System.nanoTime();
    if (server.answers()) {
      r.heartbeatNanos = now;
    }
    boolean expired = now - r.heartbeatNanos > EXPIRY_NANOS;
    String key = "servers/" + server.id();
    String entry = expired || r.lapsed ? null : entry(server, r.draining);
    if (!key.equals(r.key) && r.entry != null) {
      write(r.key, null);
      r.entry = null;
    }
    boolean onlyAliveServersWrite = entry == null || r.heartbeatNanos == now;
    if (onlyAliveServersWrite && (entry == null ? r.entry != null : !entry.equals(r.entry))) {
      write(key, entry);
      r.key = key;
      r.entry = entry;
      if (r.draining && entry != null) {
        drainingSinceNanos.putIfAbsent(server, System.nanoTime());
      }
    }
  }

  private Registration registration(ReplicatedServer server) {
    return registrations.computeIfAbsent(server, s -> new Registration());
  }

  private void write(String key, @Nullable String entry) {
    if (entry == null) {
      store.transact(Map.of(), Map.of(), List.of(key));
    } else {
      String base64 = Base64.getEncoder().encodeToString(entry.getBytes(StandardCharsets.UTF_8));
      store.transact(Map.of(), Map.of(key, base64), List.of());
    }
  }

  private String entry(ReplicatedServer server, boolean isDraining) {
    JsonObject entry = new JsonObject();
    entry.addProperty("service", server.group().name());
    entry.addProperty("address", path.apply(server.address()));
    entry.addProperty("zone", "zone-a");
    entry.addProperty("version", "v1");
    entry.addProperty("slots", 3);
    entry.addProperty("state", isDraining ? "draining" : "ready");
    entry.addProperty("cold_remaining_ms", 0);
    entry.addProperty("database_role", server.isPrimary() ? "primary" : "replica");
    entry.addProperty("sequence", 1);
    entry.addProperty("born", 1_700_000_000_000L);
    return entry.toString();
  }
}
