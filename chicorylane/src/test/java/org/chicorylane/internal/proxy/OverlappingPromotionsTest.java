package org.chicorylane.internal.proxy;

import static com.google.common.truth.Truth.assertThat;

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

  /** Has the first server promoted by a repeated call while the first call is outstanding. */
  private String promoteByRepeatedCall() {
    scenario.begin();
    fleet.promotionService.checksTokens = false;
    fleet.promotionService.untilExecuted = Duration.ofSeconds(6);
    fleet.promotionService.onOrder =
        first -> fleet.scheduler.schedule(FIRST_CALL, fleet.promotionService::resetDelays);
    fleet.putServer("server-a", true);
    scenario.advanceUntilLogged("outcome=ACCEPTED", 4_000);
    fleet.advance(1_000);
    fleet.putServer("server-a", false);
    return fleet.promotions.get(0);
  }

  private void promoteAnotherAndFinish(String first) {
    fleet.putServer(first, true);
    scenario.advanceUntil("a second promotion", 15_000, () -> fleet.promotions.size() > 1);
    scenario.server(first).isolatedFromServers = true;
    fleet.advance(8_000);
    scenario.recover();
    scenario.finish();
  }

  // Guards against a repeated call whose first sending is executed after a later promotion.
  @Test
  void testRepeatedCallExecutedAfterLaterPromotionLosesNoCommits() {
    promoteAnotherAndFinish(promoteByRepeatedCall());
  }

  // Guards against a later home that does not know of an outstanding call of an earlier one.
  @Test
  void testRepeatedCallOfAnEarlierHomeExecutedLateLosesNoCommits() {
    final String first = promoteByRepeatedCall();
    ModelHost earlier = scenario.home();
    earlier.kill();
    fleet.advance(1_000);
    assertThat(scenario.home()).isNotEqualTo(earlier);
    earlier.start();
    promoteAnotherAndFinish(first);
  }
}
