package org.chicorylane.internal.proxy;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

/**
 * A promotion takes effect long after its call. Commits that another server, promoted meanwhile,
 * has acknowledged must not be lost.
 */
final class OverlappingPromotionsTest {

  /** Time after the first call in which the platform is slow; its answer is awaited longer. */
  private static final Duration FIRST_CALL = Duration.ofMillis(100);

  @RegisterExtension private final FleetScenario scenario = new FleetScenario(4);
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

  // Guards against a repeated call whose first sending is executed after a later promotion.
  @Test
  void testRepeatedCallExecutedAfterLaterPromotionLosesNoCommits() {
    scenario.begin();
    fleet.promotionService.checksTokens = false;
    fleet.promotionService.untilExecuted = Duration.ofSeconds(6);
    fleet.promotionService.onOrder =
        first -> fleet.scheduler.schedule(FIRST_CALL, fleet.promotionService::resetDelays);
    fleet.putServer("server-a", true);
    scenario.advanceUntilLogged("outcome=ACCEPTED", 4_000);
    fleet.advance(1_000);
    String first = fleet.promotions.get(0);
    fleet.putServer("server-a", false);
    fleet.putServer(first, true);
    scenario.advanceUntil("a second promotion", 10_000, () -> fleet.promotions.size() > 1);
    scenario.server(first).isolatedFromServers = true;
    fleet.advance(8_000);
    scenario.recover();
    scenario.finish();
  }
}
