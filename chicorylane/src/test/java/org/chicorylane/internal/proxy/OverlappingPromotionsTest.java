package org.chicorylane.internal.proxy;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/**
 * A promotion takes effect long after its call. Commits that another server, promoted meanwhile,
 * has acknowledged must not be lost.
 */
final class OverlappingPromotionsTest {

  private final FleetScenario scenario = new FleetScenario(4);
  private final ModelFleet fleet = scenario.fleet;

  /** Cuts off the first server for which a promotion is called, and speeds up later calls. */
  private void cutOffFirstTarget() {
    fleet.promotionService.onOrder =
        first -> {
          fleet.hosts().forEach(h -> h.unreachableServers.add(first.serverId()));
          scenario.server(first.serverId()).isolatedFromServers = true;
          fleet.promotionService.onOrder =
              later -> {
                if (!later.serverId().equals(first.serverId())) {
                  fleet.promotionService.resetDelays();
                }
              };
        };
  }

  private void drainPrimaryAndFinish() {
    cutOffFirstTarget();
    fleet.putServer("server-a", true);
    fleet.advance(12_000);
    scenario.requirePromotion();
    scenario.recover();
    scenario.finish();
  }

  // Guards against a second order while the first was accepted and has not taken effect.
  @Test
  void testLateEffectOfAnAcceptedOrderLosesNoCommits() {
    scenario.begin();
    fleet.promotionService.untilEffect = Duration.ofSeconds(6);
    drainPrimaryAndFinish();
  }

  // Guards against a second order while the call of the first may still be executed.
  @Test
  void testLateExecutionOfAnUnansweredOrderLosesNoCommits() {
    scenario.begin();
    fleet.promotionService.checksTokens = false;
    fleet.promotionService.untilExecuted = Duration.ofSeconds(6);
    drainPrimaryAndFinish();
  }
}
