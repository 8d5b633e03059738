package org.chicorylane.internal.proxy;

import static com.google.common.truth.Truth.assertWithMessage;

import org.chicorylane.internal.passthrough.ModelServer;
import org.chicorylane.internal.passthrough.ServerCommand;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

/**
 * A primary that was replaced while it was silent is back and still says that it leads, when its
 * successor crashes. The other replica has received nothing for a while, so the old primary alone
 * holds all acknowledged commits.
 */
final class ReplacedPrimaryPromotionTest {

  @RegisterExtension private final FleetScenario scenario = new FleetScenario(1);
  private final ModelFleet fleet = scenario.fleet;
  private final ModelServer replaced = scenario.server("server-a");
  private final ModelServer behind = scenario.server("server-b");
  private final ModelServer next = scenario.server("server-c");

  /** Has server-c promoted while server-a is silent and server-b receives nothing. */
  private void replacePrimary() {
    scenario.begin();
    behind.ignoresReplication = true;
    fleet.advance(1_500);
    replaced.unresponsive = true;
    scenario.advanceUntil("a promotion call", 4_000, () -> !fleet.promotions.isEmpty());
  }

  private void refuseToStepDown() {
    replaced.refuses = command -> command instanceof ServerCommand.StepDown;
  }

  private void awaitSuccessor() {
    scenario.advanceUntil("the promotion", 2_000, () -> next.primary);
    fleet.advance(400);
  }

  /** Waits for service without server-c, then ends all faults. */
  private void finish() {
    fleet.advance(3_000);
    replaced.refuses = command -> false;
    fleet.advance(1_500);
    assertServedWithin(1_000);
    scenario.recover();
    scenario.finish();
  }

  private void assertServedWithin(long millis) {
    int before = scenario.clients.succeeded;
    fleet.advance(millis);
    assertWithMessage("statements served without server-c")
        .that(scenario.clients.succeeded)
        .isGreaterThan(before);
  }

  // Guards against counting the old primary, which cannot be chosen, among the logs that reported.
  @Test
  void testCommitsOfReplacedPrimaryAreNotLostWhenItsSuccessorCrashes() {
    replacePrimary();
    replaced.unresponsive = false;
    awaitSuccessor();
    next.crash();
    finish();
  }

  // Guards against the same while the old primary is too busy to step down at once.
  @Test
  void testReplacedPrimaryIsAwaitedUntilItStepsDown() {
    replacePrimary();
    refuseToStepDown();
    awaitSuccessor();
    next.crash();
    replaced.unresponsive = false;
    finish();
  }

  // Guards against the same at a home that does not know which commits an earlier home
  // acknowledged.
  @Test
  void testCommitsOfReplacedPrimaryAreNotLostByLaterHome() {
    replacePrimary();
    refuseToStepDown();
    awaitSuccessor();
    ModelHost earlier = scenario.home();
    next.crash();
    replaced.unresponsive = false;
    earlier.kill();
    fleet.advance(700);
    earlier.start();
    finish();
  }

  // Guards against commits that nobody confirms, and against a short life of the only other log.
  @Test
  void testReplacedPrimaryStepsDownAsSoonAsItsSuccessorIsUsed() {
    replacePrimary();
    replaced.unresponsive = false;
    scenario.advanceUntilLogged("primary group=plans server=server-c", 2_000);
    fleet.advance(100);
    assertWithMessage("server-a leads").that(replaced.primary).isFalse();
  }

  // Guards against rolling back a primary that still leads, once the order of an earlier home for
  // another server has expired, and against replicas that stay stopped while they lack its log.
  @Test
  void testPrimaryIsNotRolledBackWhenInheritedOrderExpired() {
    replacePrimary();
    next.crash();
    replaced.unresponsive = false;
    ModelHost earlier = scenario.home();
    earlier.kill();
    fleet.advance(700);
    earlier.start();
    fleet.advance(12_000);
    assertWithMessage("promotions").that(fleet.promotions).containsExactly(next.id());
    behind.ignoresReplication = false;
    assertServedWithin(3_000);
    scenario.recover();
    scenario.finish();
  }

  // Guards against waiting for a crashed server that no instance saw lead, although the primary
  // before it, a replica now, holds its log.
  @Test
  void testFormerPrimaryIsPromotedIfItAloneHoldsTheLogOfItsSuccessor() {
    scenario.begin();
    behind.ignoresReplication = true;
    fleet.advance(1_000);
    fleet.hosts().forEach(h -> h.unreachableServers.add(next.id()));
    fleet.group.promote(next.id());
    scenario.advanceUntil("server-a follows", 3_000, () -> !replaced.primary);
    next.crash();
    fleet.advance(3_000);
    assertWithMessage("promotions").that(fleet.promotions).containsExactly(replaced.id());
    scenario.recover();
    scenario.finish();
  }
}
