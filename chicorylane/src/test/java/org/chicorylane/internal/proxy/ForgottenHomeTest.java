package org.chicorylane.internal.proxy;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

/**
 * An isolated home still holds its lease after many changes of home. No later home may have a
 * server promoted before that lease has ended.
 */
final class ForgottenHomeTest {

  /** More changes of home than the record keeps earlier homes. */
  private static final int CHANGES = 5;

  @RegisterExtension private final FleetScenario scenario = new FleetScenario(CHANGES + 3);
  private final ModelFleet fleet = scenario.fleet;

  private ModelHost awaitOtherHome(ModelHost isolated) {
    scenario.advanceUntil("another home", 5_000, () -> scenario.homeOtherThan(isolated) != null);
    return scenario.homeOtherThan(isolated);
  }

  // Guards against a record that drops an earlier home while it may hold its lease.
  @Test
  void testIsolatedHomeIsNotForgottenAfterManyChangesOfHome() {
    scenario.begin();
    ModelHost bestCandidate = scenario.home();
    bestCandidate.kill();
    ModelHost isolated = awaitOtherHome(bestCandidate);
    fleet.advance(1_500);
    final Partition partition = Partition.begin(fleet, isolated, scenario.server("server-a"));
    ModelHost home = awaitOtherHome(isolated);
    for (int i = 0; i < CHANGES; i++) {
      home.kill();
      home = awaitOtherHome(isolated);
    }
    fleet.hosts().stream().filter(h -> !h.running).forEach(ModelHost::start);
    fleet.advance(12_000);
    partition.end();
    scenario.recover();
    scenario.finish();
  }
}
