package org.chicorylane.internal.proxy;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

/**
 * A home sends a promotion call twice, and dies after the second one has taken effect. The next
 * home finds no pending promotion in the record, although the first call may still be executed.
 */
final class RepeatedOrderOfEarlierHomeTest {

  @RegisterExtension private final FleetScenario scenario = new FleetScenario(4);
  private final ModelFleet fleet = scenario.fleet;

  @Test
  void testFirstCallOfAnEarlierHomeExecutedAfterLaterPromotionLosesNoCommits() {
    scenario.begin();
    final ModelHost home = scenario.home();
    fleet.promotionService.checksTokens = false;
    fleet.promotionService.untilExecuted = Duration.ofSeconds(6);
    fleet.promotionService.onOrder =
        first ->
            fleet.scheduler.schedule(Duration.ofMillis(5), fleet.promotionService::resetDelays);
    fleet.putServer("server-a", true);
    scenario.advanceUntilLogged("outcome=ACCEPTED", 4_000);
    fleet.advance(1_000);
    final String first = fleet.promotions.get(0);
    fleet.putServer("server-a", false);
    home.kill();
    fleet.advance(500);
    home.start();
    fleet.putServer(first, true);
    scenario.advanceUntil("a second promotion", 15_000, () -> fleet.promotions.size() > 1);
    scenario.server(first).isolatedFromServers = true;
    fleet.advance(8_000);
    scenario.recover();
    scenario.finish();
  }
}
