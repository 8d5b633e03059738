package org.chicorylane.internal.proxy;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

/** A primary refuses the home's connections: it crashed, or only the home is cut off from it. */
final class RefusedServerTest {

  @RegisterExtension private final FleetScenario scenario = new FleetScenario(4);
  private final ModelFleet fleet = scenario.fleet;

  // Guards against a promotion in place of a primary that works for all instances but the home.
  @Test
  void testPrimaryThatRefusesOnlyTheHomeIsKept() {
    scenario.begin();
    ModelHost home = scenario.home();
    home.refuseServer("server-a");
    scenario.advanceUntil("another home", 1_000, () -> scenario.homeOtherThan(home) != null);
    int before = scenario.clients.succeeded;
    fleet.advance(2_000);
    assertWithMessage("served by the other home")
        .that(scenario.clients.succeeded - before)
        .isAtLeast(200);
    assertThat(fleet.promotions).isEmpty();
    scenario.recover();
    scenario.finish();
  }

  // Guards against a crashed primary that is kept because the other instances are down too.
  @Test
  void testCrashedPrimaryIsReplacedThoughNoOtherInstanceAnswers() {
    scenario.begin();
    ModelHost home = scenario.home();
    fleet.hosts().stream().filter(h -> h != home).forEach(ModelHost::kill);
    fleet.group.primary().crash();
    scenario.advanceUntilLogged("primary-change", 1_000);
    fleet.hosts().stream().filter(h -> !h.running).forEach(ModelHost::start);
    scenario.advanceUntil("a promotion", 2_000, () -> !fleet.promotions.isEmpty());
    scenario.recover();
    scenario.finish();
  }
}
