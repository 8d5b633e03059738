package org.chicorylane.internal.proxy;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

/** A home shuts down shortly after it has sent a promotion call that is delayed on its way. */
final class LeavingHomePromotionTest {

  private static final Duration STOP_LIMIT = Duration.ofMillis(4_500);

  @RegisterExtension private final FleetScenario scenario = new FleetScenario(4);
  private final ModelFleet fleet = scenario.fleet;

  /** Shuts the home down 200 ms after it has sent a call that arrives only after {@code delay}. */
  private void stopHomeDuringPromotion(Duration delay) {
    scenario.begin();
    final ModelHost home = scenario.home();
    ModelPromotionService service = fleet.promotionService;
    service.checksTokens = false;
    service.untilExecuted = delay;
    service.onOrder = first -> fleet.scheduler.schedule(Duration.ofMillis(5), service::resetDelays);
    fleet.group.primary().crash();
    scenario.advanceUntilLogged("promotion-call", 4_000);
    fleet.advance(200);
    home.instance.drain(STOP_LIMIT, home::kill);
  }

  // Guards against a call that the next home overtakes with a higher token, as in soak seed 37.
  @Test
  void testNextHomeDoesNotOvertakeTheCallOfLeavingHome() {
    stopHomeDuringPromotion(Duration.ofMillis(2_600));
    fleet.advance(8_000);
    assertWithMessage("tokens in order of arrival")
        .that(fleet.promotionService.arrivedTokens)
        .isInOrder();
    scenario.recover();
    scenario.finish();
  }

  @Test
  void testNextHomePromotesAfterTheCallOfLeavingHomeWasLost() {
    scenario.begin();
    final ModelHost home = scenario.home();
    fleet.promotionService.losesCalls = true;
    fleet.group.primary().crash();
    scenario.advanceUntilLogged("promotion-call", 4_000);
    home.instance.drain(STOP_LIMIT, home::kill);
    fleet.advance(100);
    fleet.promotionService.losesCalls = false;
    scenario.advanceUntil("a promotion", 6_000, () -> !fleet.promotions.isEmpty());
    assertThat(fleet.violations).isEmpty();
    scenario.recover();
    scenario.finish();
  }

  // Guards against a process that ends before the next home has heard that it stopped.
  @Test
  void testLeavingHomeConfirmsItsStopBeforeItEnds() {
    scenario.begin();
    final ModelHost home = scenario.home();
    fleet.promotionService.losesCalls = true;
    fleet.group.primary().crash();
    scenario.advanceUntilLogged("promotion-call", 4_000);
    home.instance.drain(STOP_LIMIT, home::kill);
    fleet.advance(100);
    fleet.promotionService.losesCalls = false;
    scenario.advanceUntil("the end of the process", 6_000, () -> !home.running);
    String confirmed = " home-stopped group=plans home=" + home.name + " ";
    assertThat(fleet.lines.stream().filter(l -> l.contains(confirmed)).toList()).isNotEmpty();
    scenario.recover();
    scenario.finish();
  }

  @Test
  void testLeavingHomeSendsNoFurtherCall() {
    stopHomeDuringPromotion(Duration.ofMillis(2_600));
    int sent = fleet.promotionService.arrivedTokens.size();
    scenario.advanceUntil(
        "the arrival of the delayed call",
        3_000,
        () -> fleet.promotionService.arrivedTokens.size() > sent);
    fleet.advance(300);
    assertThat(fleet.promotionService.arrivedTokens.stream().distinct()).hasSize(1);
    assertThat(fleet.promotionService.arrivedTokens).hasSize(1);
  }
}
