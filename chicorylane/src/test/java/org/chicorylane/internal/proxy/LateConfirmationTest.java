package org.chicorylane.internal.proxy;

import org.chicorylane.internal.passthrough.ModelServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

/**
 * A commit that was sent before a change of primary is confirmed after the server to promote was
 * chosen. Its success must not reach the client unless the promoted server holds it.
 */
final class LateConfirmationTest {

  @RegisterExtension private final FleetScenario scenario = new FleetScenario(4);
  private final ModelFleet fleet = scenario.fleet;
  private final ModelServer primary = scenario.server("server-a");

  // Guards against passing on a success that a replica which was not stopped has confirmed.
  @Test
  void testCommitConfirmedAfterTheChoiceByAnUnstoppedReplicaIsNotLost() {
    scenario.begin();
    scenario.stopClients();
    ModelHost home = scenario.home();
    primary.isolatedFromServers = true;
    scenario.clients.writeOnce(home);
    fleet.advance(700);
    scenario.clients.writeOnce(home);
    scenario.advanceUntilLogged("primary-change", 4_000);
    home.unreachableServers.add("server-c");
    fleet.promotionService.onOrder = order -> primary.isolatedFromServers = false;
    fleet.advance(5_000);
    scenario.requirePromotion();
    scenario.recover();
    scenario.finish();
  }

  // Guards against passing on a success that a replica has confirmed after its stop was ended by a
  // restart.
  @Test
  void testCommitConfirmedAfterTheChoiceByRestartedReplicaIsNotLost() {
    scenario.begin();
    scenario.stopClients();
    ModelHost home = scenario.home();
    primary.isolatedFromServers = true;
    scenario.clients.writeOnce(home);
    fleet.advance(780);
    scenario.clients.writeOnce(home);
    fleet.promotionService.onOrder =
        order -> {
          restart(order.serverId().equals("server-b") ? "server-c" : "server-b");
          primary.isolatedFromServers = false;
        };
    fleet.advance(5_000);
    scenario.requirePromotion();
    scenario.recover();
    scenario.finish();
  }

  private void restart(String serverId) {
    scenario.server(serverId).crash();
    scenario.server(serverId).restart();
  }
}
