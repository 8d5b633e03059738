package org.chicorylane.standin.wire;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.chicorylane.standin.metadata.StandInMetadataStore;

/**
 * The environment that instances need, on loopback ports: a metadata store, database groups of
 * three servers each, and a configuration with one route of each kind to the first group and one
 * route to each further group.
 */
public final class StandInSystem implements AutoCloseable {

  /** The name of the first database group. */
  public static final String GROUP = "plans";

  /** The database whose route sends every statement to the primary. */
  public static final String LATEST = "db-latest";

  /** The database whose route allows reads with bounded staleness. */
  public static final String BOUNDED = "db-bounded";

  /** The database whose route guarantees that a session reads its own writes. */
  public static final String OWN = "db-own";

  private static final int SERVERS_PER_GROUP = 3;

  private final StandInMetadataStore store = new StandInMetadataStore();
  private final List<String> groups = new ArrayList<>();
  private final List<StandInWireServer> servers = new ArrayList<>();
  private final CountDownLatch promoted = new CountDownLatch(1);

  private final LoopbackPorts ports = new LoopbackPorts();

  /** Starts the store and one database group. */
  public StandInSystem() throws IOException {
    this(List.of());
  }

  /**
   * Starts the store and the servers, and writes the server entries and the configuration.
   *
   * @param furtherGroups the names of the groups beside {@link #GROUP}
   */
  public StandInSystem(List<String> furtherGroups) throws IOException {
    groups.add(GROUP);
    groups.addAll(furtherGroups);
    for (String group : groups) {
      AtomicLong commits = new AtomicLong(10);
      for (int i = 0; i < SERVERS_PER_GROUP; i++) {
        String id = "server-" + servers.size();
        servers.add(new StandInWireServer(group, id, i == 0, commits));
      }
    }
    Map<String, AtomicLong> terms = new ConcurrentHashMap<>();
    store.onPromotion(
        (service, id) -> {
          long term = terms.computeIfAbsent(service, s -> new AtomicLong(1)).incrementAndGet();
          servers.stream().filter(s -> s.id().equals(id)).forEach(s -> s.promote(term));
          servers.stream().filter(s -> s.service().equals(service)).forEach(s -> s.follow(term));
          promoted.countDown();
          return true;
        });
    servers.forEach(s -> putServer(s, "ready"));
    putConfiguration(1);
  }

  /** Returns the metadata store. */
  public StandInMetadataStore store() {
    return store;
  }

  /**
   * Waits until each group has a home, which shows when the server that is the primary at the start
   * receives a status query.
   *
   * @param millis the longest wait for each group, in milliseconds
   * @return whether all groups had a home in time
   */
  public boolean awaitHome(long millis) throws InterruptedException {
    for (int i = 0; i < servers.size(); i += SERVERS_PER_GROUP) {
      if (!servers.get(i).awaitLine("QUERY - STATUS", millis)) {
        return false;
      }
    }
    return true;
  }

  /**
   * Waits until a server has been promoted.
   *
   * @param millis the longest wait, in milliseconds
   * @return whether a server was promoted in time
   */
  public boolean awaitPromotion(long millis) throws InterruptedException {
    return promoted.await(millis, TimeUnit.MILLISECONDS);
  }

  /** Returns the database whose route leads to a group other than {@link #GROUP}. */
  public static String databaseOf(String furtherGroup) {
    return "db-" + furtherGroup;
  }

  /** Returns the server at {@code index}; server 0 is the first group's primary at the start. */
  public StandInWireServer server(int index) {
    return servers.get(index);
  }

  /** Writes the entry of {@code server} to the store, with {@code state} as its state. */
  public void putServer(StandInWireServer server, String state) {
    JsonObject entry = new JsonObject();
    entry.addProperty("service", server.service());
    entry.addProperty("address", server.address());
    entry.addProperty("zone", "zone-a");
    entry.addProperty("version", "v1");
    entry.addProperty("slots", 3);
    entry.addProperty("state", state);
    entry.addProperty("cold_remaining_ms", 0);
    entry.addProperty("database_role", server.startsAsPrimary() ? "primary" : "replica");
    entry.addProperty("sequence", 1);
    entry.addProperty("born", 1_700_000_000_000L);
    put("servers/" + server.id(), entry.toString());
  }

  /** Writes the configuration with the given version number, under the operator's key. */
  public void putConfiguration(long version) {
    JsonArray routes = new JsonArray();
    routes.add(route(LATEST, "primary", GROUP));
    routes.add(route(BOUNDED, "bounded_staleness", GROUP));
    routes.add(route(OWN, "read_your_writes", GROUP));
    JsonArray services = new JsonArray();
    for (String group : groups) {
      if (!group.equals(GROUP)) {
        routes.add(route(databaseOf(group), "read_your_writes", group));
      }
      JsonObject service = new JsonObject();
      service.addProperty("name", group);
      service.addProperty("max_connections", 23);
      service.addProperty("sync_replicas", 1);
      services.add(service);
    }
    JsonObject limits = new JsonObject();
    limits.addProperty("transaction_idle_ms", 3_000);
    JsonObject configuration = new JsonObject();
    configuration.addProperty("version", version);
    configuration.add("routes", routes);
    configuration.add("services", services);
    configuration.add("limits", limits);
    put("op/config", configuration.toString());
  }

  static JsonObject route(String database, String kind, String group) {
    JsonObject route = new JsonObject();
    route.addProperty("name", "route-" + database);
    route.addProperty("host", database);
    route.addProperty("prefix", "/");
    route.addProperty("kind", kind);
    route.addProperty("timeout_ms", 800);
    route.addProperty("target_latency_ms", 250);
    route.addProperty("priority", 1);
    route.addProperty("service", group);
    route.addProperty("max_attempts", 2);
    if (!kind.equals("primary")) {
      route.addProperty("max_staleness_ms", 2_500);
    }
    return route;
  }

  /** Writes a key without a condition, as a concurrent writer does. */
  public void put(String key, String value) {
    String base64 = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
    store.engine().transact(Map.of(), Map.of(key, base64), List.of());
  }

  /**
   * Writes the settings file of an instance, with ports that are reserved until this system is
   * closed: only listeners with {@code SO_REUSEADDR} that name the port can bind it.
   *
   * @param file the file to write
   * @param instance the name of the instance
   * @return host and port for the instance's clients
   */
  public String writeSettings(Path file, String instance) throws IOException {
    InstanceSettings settings =
        new InstanceSettings(
            instance, "zone-a", ports, store.relayedAddress(), store.relayedAddress());
    Files.writeString(file, settings.toJson());
    return settings.clientAddress();
  }

  @Override
  public void close() throws IOException {
    ports.close();
    store.close();
    for (StandInWireServer server : servers) {
      server.close();
    }
  }
}
