package org.chicorylane.internal.proxy;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

/**
 * A home takes over a pending promotion that has taken effect, and reaches only the old primary and
 * a replica. Positions of the old primary are no floor for reads at the replica.
 */
final class HaltedPrimaryReplicaReadTest {

  @RegisterExtension private final FleetScenario scenario = new FleetScenario(4);
  private final ModelFleet fleet = scenario.fleet;

  @Test
  void testReplicaReadsOfTheNextHomeAreNotBoundedByTheOldPrimary() {
    scenario.begin();
    ModelHost home = scenario.home();
    fleet.promotionService.onOrder = order -> scenario.isolate(fleet.host(order.caller()));
    fleet.promotionService.onEffect =
        id -> {
          scenario.server("server-a").isolatedFromServers = true;
          scenario.cutFromInstances(id, home);
          for (String s : ModelFleet.SERVERS) {
            if (!s.equals(id) && !s.equals("server-a")) {
              scenario.server(s).lag = Duration.ofMillis(2_500);
            }
          }
        };
    fleet.putServer("server-a", true);
    fleet.advance(8_000);
    assertThat(fleet.promotions).hasSize(1);
    assertThat(scenario.homeOtherThan(home)).isNotNull();
    assertThat(scenario.clients.violations).isEmpty();
  }
}
