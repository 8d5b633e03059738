package org.chicorylane.internal.proxy;

import static com.google.common.truth.Truth.assertWithMessage;

import org.chicorylane.internal.passthrough.ModelServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

/**
 * An instance that acknowledged commits in the home's place can no longer report them. The home
 * must not take its own acknowledged position for the last one.
 */
final class LostKnowledgePromotionTest {

  @RegisterExtension private final FleetScenario scenario = new FleetScenario(2);
  private final ModelFleet fleet = scenario.fleet;
  private final ModelServer primary = scenario.server("server-a");
  private final ModelServer stalled = scenario.server("server-b");

  /**
   * Has a successor stand in for a frozen home and acknowledge commits that only server-c confirms.
   * Returns the successor.
   */
  private ModelHost acknowledgeCommitsAtSuccessor(ModelHost home) {
    fleet.storeDown = true;
    fleet.advance(200);
    home.freeze();
    stalled.ignoresReplication = true;
    scenario.advanceUntilLogged("standing-in", 5_000);
    ModelHost successor =
        fleet.hosts().stream()
            .filter(h -> h != home && h.instance.isHomeOf("plans"))
            .findFirst()
            .orElseThrow();
    int before = scenario.clients.succeeded;
    scenario.clients.writeOnce(successor);
    fleet.advance(500);
    assertWithMessage("writes that the successor acknowledged")
        .that(scenario.clients.succeeded - before)
        .isEqualTo(1);
    return successor;
  }

  private void crashPrimaryAndFinish(ModelHost home) {
    assertWithMessage("home").that(scenario.home()).isEqualTo(home);
    fleet.hosts().forEach(h -> h.unreachableServers.add("server-c"));
    primary.crash();
    fleet.advance(13_000);
    assertWithMessage("violations").that(fleet.violations).isEmpty();
    scenario.recover();
    scenario.finish();
  }

  // Guards against a restarted successor that counts as one that acknowledged nothing.
  @Test
  void testCommitsOfRestartedSuccessorAreNotLost() {
    scenario.begin();
    scenario.stopClients();
    ModelHost home = scenario.home();
    ModelHost successor = acknowledgeCommitsAtSuccessor(home);
    successor.kill();
    home.thaw();
    fleet.advance(300);
    successor.start();
    fleet.storeDown = false;
    fleet.advance(500);
    crashPrimaryAndFinish(home);
  }

  // Guards against a successor that is excluded by time and counts as one without commits.
  @Test
  void testCommitsOfSuccessorExcludedByTimeAreNotLost() {
    scenario.begin();
    scenario.stopClients();
    ModelHost home = scenario.home();
    ModelHost successor = acknowledgeCommitsAtSuccessor(home);
    successor.freeze();
    home.thaw();
    fleet.advance(300);
    fleet.storeDown = false;
    fleet.advance(500);
    crashPrimaryAndFinish(home);
  }
}
