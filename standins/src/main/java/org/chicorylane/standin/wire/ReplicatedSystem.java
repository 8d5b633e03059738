package org.chicorylane.standin.wire;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import org.chicorylane.standin.metadata.StandInMetadataStore;

/**
 * The environment of instances with database groups that replicate, on loopback ports: a metadata
 * store, a promotion endpoint, groups of three servers, and a configuration with one route of each
 * kind to each group.
 */
public final class ReplicatedSystem implements AutoCloseable {

  /** The kinds of routes. */
  public static final List<String> KINDS =
      List.of("primary", "bounded_staleness", "read_your_writes");

  /** Interval at which log moves between servers. */
  private static final long TICK_MILLIS = 3;

  private static final int MAX_CONNECTIONS = 23;

  private final StandInMetadataStore store = new StandInMetadataStore();
  private final LoopbackPorts ports = new LoopbackPorts();
  private final ExecutorService connections = Executors.newCachedThreadPool();
  private final ScheduledExecutorService ticks = Executors.newSingleThreadScheduledExecutor();
  private final ScheduledExecutorService copyTimer = Executors.newScheduledThreadPool(2);
  private final List<ReplicatedGroup> groups = new ArrayList<>();
  private final PromotionEndpoint promotions;
  private final ServerRegistrar registrar;

  /**
   * Starts the store and the groups, and writes the servers' entries and the configuration.
   *
   * @param groupNames the names of the database groups
   * @param listener receives what happens in the groups
   * @param seed determines the delays of promotions
   * @param path maps a server's address to the one under which instances reach it
   */
  public ReplicatedSystem(
      List<String> groupNames,
      ReplicatedGroupListener listener,
      long seed,
      UnaryOperator<String> path)
      throws IOException {
    registrar = new ServerRegistrar(store.engine(), path);
    for (String name : groupNames) {
      long groupSeed = seed * 31 + groups.size();
      groups.add(new ReplicatedGroup(name, ports, connections, copyTimer, listener, groupSeed));
    }
    promotions = new PromotionEndpoint(this::order);
    tick();
    putConfiguration(1);
    ticks.scheduleAtFixedRate(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Returns the metadata store. */
  public StandInMetadataStore store() {
    return store;
  }

  /** Returns the reservations of ports. */
  public LoopbackPorts ports() {
    return ports;
  }

  /** Returns host and port to which calls for promotions are sent. */
  public String promotionAddress() {
    return promotions.address();
  }

  /** Returns the database groups. */
  public List<ReplicatedGroup> groups() {
    return List.copyOf(groups);
  }

  /** Returns the database whose route of the given kind leads to a group. */
  public static String databaseOf(String kind, String group) {
    return kind + "-" + group;
  }

  /** Sets whether a server reports that it is about to end. */
  public void setDraining(ReplicatedServer server, boolean isDraining) {
    registrar.setDraining(server, isDraining);
  }

  /**
   * Returns the time at which the store accepted that a server drains, by {@link
   * System#nanoTime()}; empty if it does not drain. Takes no lock.
   */
  public OptionalLong drainingSinceNanos(ReplicatedServer server) {
    return registrar.drainingSinceNanos(server);
  }

  /** Sets whether a server has no entry in the store although it runs. */
  public void setLapsed(ReplicatedServer server, boolean isLapsed) {
    registrar.setLapsed(server, isLapsed);
  }

  /** Returns whether a server has an entry in the store. */
  public boolean isListed(ReplicatedServer server) {
    return registrar.isListed(server);
  }

  /** Writes the configuration with the given version number. */
  public void putConfiguration(long version) {
    JsonArray routes = new JsonArray();
    JsonArray services = new JsonArray();
    for (ReplicatedGroup group : groups) {
      KINDS.forEach(
          k -> routes.add(StandInSystem.route(databaseOf(k, group.name()), k, group.name())));
      JsonObject service = new JsonObject();
      service.addProperty("name", group.name());
      service.addProperty("max_connections", MAX_CONNECTIONS);
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

  private void put(String key, String value) {
    String base64 = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
    store.engine().transact(Map.of(), Map.of(key, base64), List.of());
  }

  private boolean order(ReplicatedGroupListener.PromotionCall call) {
    return groups.stream().filter(g -> g.name().equals(call.group())).anyMatch(g -> g.order(call));
  }

  private void tick() {
    try {
      for (ReplicatedGroup group : groups) {
        group.tick();
        group.servers().forEach(registrar::update);
      }
    } catch (IOException e) {
      throw new UncheckedIOException("a connection of a server could not be closed", e);
    }
  }

  @Override
  public void close() throws IOException {
    ticks.shutdownNow();
    for (ReplicatedGroup group : groups) {
      group.close();
    }
    connections.shutdownNow();
    copyTimer.shutdownNow();
    promotions.close();
    store.close();
    ports.close();
  }
}
