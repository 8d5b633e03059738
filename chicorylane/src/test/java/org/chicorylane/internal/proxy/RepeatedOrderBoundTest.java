package org.chicorylane.internal.proxy;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

/**
 * A home repeats an inherited order, so it never learned the log with which the server was
 * promoted. It must not take the end of that log as known when the server is lost.
 */
final class RepeatedOrderBoundTest {

  @RegisterExtension private final FleetScenario scenario = new FleetScenario(4);
  private final ModelFleet fleet = scenario.fleet;

  @Test
  void testServerThatLedAfterRepeatedOrderIsNotReplacedByShorterLog() {
    scenario.begin();
    ModelHost home = scenario.home();
    fleet.promotionService.onOrder =
        order -> {
          fleet.promotionService.onOrder = later -> {};
          scenario.isolate(fleet.host(order.caller()));
        };
    fleet.promotionService.onEffect =
        id -> {
          fleet.promotionService.onEffect = later -> {};
          scenario.cutFromInstances(id, home);
          scenario.server("server-a").isolatedFromServers = true;
        };
    fleet.putServer("server-a", true);
    scenario.advanceUntil("a promotion", 4_000, () -> !fleet.promotions.isEmpty());
    fleet.advance(1_500);
    final String promoted = fleet.promotions.get(0);
    fleet.putServer("server-a", false);
    home.kill();
    home.unreachableHosts.clear();
    scenario.advanceUntilLogged("choice=Repeat", 14_000);
    fleet.advance(30);
    fleet.hosts().forEach(h -> h.unreachableServers.remove(promoted));
    fleet.lines.clear();
    scenario.advanceUntilLogged("server=" + promoted + " term=2 step=PROMOTING", 4_000);
    String follower = promoted.equals("server-b") ? "server-c" : "server-b";
    fleet.hosts().forEach(h -> h.unreachableServers.add(follower));
    scenario.server(promoted).crash();
    fleet.advance(14_000);
    scenario.recover();
    scenario.finish();
  }
}
