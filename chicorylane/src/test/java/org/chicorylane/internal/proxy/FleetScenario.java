package org.chicorylane.internal.proxy;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.Random;
import java.util.function.BooleanSupplier;
import org.chicorylane.internal.passthrough.ModelServer;
import org.chicorylane.internal.platform.StoreTransaction;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.extension.AfterEachCallback;
import org.junit.jupiter.api.extension.ExtensionContext;

/** A simulated fleet with clients, for tests that inject faults at chosen moments. */
final class FleetScenario implements AfterEachCallback {

  final ModelFleet fleet;
  final ModelClients clients;

  FleetScenario(int instances) {
    fleet = new ModelFleet(instances);
    fleet.logging = true;
    clients = new ModelClients(fleet, new Random(1));
  }

  /** Starts the fleet and its clients, and waits until statements are served. */
  void begin() {
    fleet.start();
    clients.begin(9);
    fleet.advance(2_000);
    assertWithMessage("statements served before the faults").that(clients.succeeded).isAtLeast(200);
  }

  /** Stops the clients and waits until their statements have ended and the logs are equal. */
  void stopClients() {
    clients.stop();
    fleet.advance(500);
  }

  ModelServer server(String id) {
    return fleet.group.server(id);
  }

  ModelHost home() {
    return fleet.home().orElseThrow(() -> new AssertionError("no instance is the home"));
  }

  /** Returns an instance other than {@code except} that is the home, null if there is none. */
  @Nullable ModelHost homeOtherThan(ModelHost except) {
    return fleet.hosts().stream()
        .filter(h -> h != except && h.instance != null && h.instance.isHomeOf("plans"))
        .findFirst()
        .orElse(null);
  }

  /** Advances by 1 ms at a time until the condition holds; fails if it does not in time. */
  void advanceUntil(String condition, long limitMillis, BooleanSupplier holds) {
    long end = fleet.scheduler.millis() + limitMillis;
    while (!holds.getAsBoolean()) {
      if (fleet.scheduler.millis() >= end) {
        throw new AssertionError(condition + " not reached in " + limitMillis + " ms");
      }
      fleet.advance(1);
    }
  }

  /** Advances until a log line contains {@code text}. */
  void advanceUntilLogged(String text, long limitMillis) {
    advanceUntil(text, limitMillis, () -> fleet.lines.stream().anyMatch(l -> l.contains(text)));
  }

  /** Fails if no promotion was accepted. */
  void requirePromotion() {
    assertWithMessage("promotions").that(fleet.promotions).isNotEmpty();
  }

  /** Kills the instance that sends the next promotion call, {@code delayMillis} after the call. */
  void killCallerOfNextPromotion(int delayMillis) {
    fleet.promotionService.onOrder =
        order -> {
          fleet.promotionService.onOrder = later -> {};
          fleet.scheduler.schedule(
              Duration.ofMillis(delayMillis), fleet.host(order.caller())::kill);
        };
  }

  /** Cuts the connections between a server and all instances but {@code except}. */
  void cutFromInstances(String serverId, ModelHost except) {
    fleet.hosts().stream()
        .filter(h -> h != except)
        .forEach(h -> h.unreachableServers.add(serverId));
  }

  /** Cuts the connections of an instance to the store and to the other instances. */
  void isolate(ModelHost host) {
    host.storeUnreachable = true;
    fleet.hosts().stream().filter(h -> h != host).forEach(h -> host.unreachableHosts.add(h.name));
  }

  /**
   * Cuts the connections of an instance to the store and to the other instances as {@link
   * #isolate}, by a partition that refuses connections.
   */
  void isolateWithRefusals(ModelHost host) {
    host.storeUnreachable = true;
    fleet.storeRefuses = true;
    fleet.hosts().stream().filter(h -> h != host).forEach(host::refuse);
  }

  /** Ends the faults of all instances, and waits until the fleet has recovered. */
  void recover() {
    for (ModelHost host : fleet.hosts()) {
      host.unreachableServers.clear();
      host.unreachableHosts.clear();
      host.acceptAll();
      host.storeUnreachable = false;
      if (!host.running) {
        host.start();
      } else if (host.frozen) {
        host.thaw();
      }
    }
    for (ModelServer server : ModelFleet.SERVERS.stream().map(this::server).toList()) {
      server.ignoresReplication = false;
      server.isolatedFromServers = false;
      if (!server.running) {
        server.restart();
      }
      fleet.putServer(server.id(), false);
    }
    fleet.advance(14_000);
  }

  /** Stops the clients and checks that no guarantee was broken. */
  void finish() {
    clients.stop();
    fleet.advance(4_000);
    clients.checkLog();
    assertThat(fleet.violations).isEmpty();
    assertThat(clients.violations).isEmpty();
  }

  /** Removes the store's entry of a server that keeps running, as when its entry lapses. */
  void removeEntry(String serverId) {
    fleet.store.transact(StoreTransaction.builder().delete("servers/" + serverId).build());
  }

  /** Prints the instances' log lines if {@code -Dfleet.log=true} is set. */
  @Override
  public void afterEach(ExtensionContext test) {
    if (Boolean.getBoolean("fleet.log")) {
      fleet.lines.forEach(System.out::println);
    }
  }
}
