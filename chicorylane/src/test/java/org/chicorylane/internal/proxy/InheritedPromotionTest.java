package org.chicorylane.internal.proxy;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A home dies between its promotion order and the moment at which the order takes effect. Its
 * successor must neither have commits confirmed that the promoted server lacks, nor read on the old
 * primary once the other server leads.
 */
final class InheritedPromotionTest {

  private final FleetScenario scenario = new FleetScenario(4);
  private final ModelFleet fleet = scenario.fleet;

  // Guards against the successor of a home resuming replicas that were stopped for a promotion.
  @ParameterizedTest
  @ValueSource(ints = {0, 5, 10, 15, 20, 25, 30, 35, 40, 45})
  void testCommitsConfirmedAfterTakeoverAreNotLostByAnInheritedPromotion(int killDelayMillis) {
    scenario.begin();
    fleet.promotionService.untilEffect = Duration.ofMillis(900);
    scenario.killCallerOfNextPromotion(killDelayMillis);
    fleet.putServer("server-a", true);
    scenario.advanceUntil("a promotion", 3_000, () -> !fleet.promotions.isEmpty());
    fleet.hosts().forEach(h -> h.unreachableServers.add(fleet.promotions.get(0)));
    fleet.advance(4_000);
    scenario.requirePromotion();
    scenario.recover();
    scenario.finish();
  }

  // Guards against reads on the old primary by the successor of a home whose promotion took effect.
  @ParameterizedTest
  @ValueSource(ints = {150, 155, 160, 165, 170, 175, 180, 185, 190, 195})
  void testNoReadRunsOnTheOldPrimaryAfterAnInheritedPromotion(int killDelayMillis) {
    scenario.begin();
    fleet.promotionService.onOrder = order -> scenario.isolate(fleet.host(order.caller()));
    ModelHost home = scenario.home();
    fleet.promotionService.onEffect =
        id -> {
          scenario.cutFromInstances(id, home);
          fleet.scheduler.schedule(Duration.ofMillis(killDelayMillis), home::kill);
        };
    fleet.putServer("server-a", true);
    fleet.advance(4_000);
    assertThat(home.running).isFalse();
    scenario.recover();
    scenario.finish();
  }
}
