package org.chicorylane.internal.proxy;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import org.chicorylane.internal.election.ElectionTimings;
import org.chicorylane.internal.election.HomeRecord;
import org.chicorylane.internal.platform.ReadResult;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

/**
 * An instance whose address refuses connections may run behind a partition, and use the primary
 * until its lease ends. The primary drains meanwhile, so that another home has to replace it.
 */
final class RefusedConnectionTest {

  private static final long LEASE_MILLIS = ElectionTimings.defaults().validity().toMillis();

  /** Time for a change of home before a lease is waited for, or of the primary after that. */
  private static final long CHANGE_MILLIS = 2_500;

  @RegisterExtension private final FleetScenario scenario = new FleetScenario(4);
  private final ModelFleet fleet = scenario.fleet;

  private ModelHost successor() {
    ReadResult.Read read = (ReadResult.Read) fleet.store.get(HomeRecord.keyOf("plans")).join();
    String name =
        HomeRecord.decode(read.first().orElseThrow(), problem -> {})
            .map(HomeRecord::successor)
            .orElseThrow()
            .name();
    return fleet.host(name);
  }

  private void requireServed(String when, long millis, int statements) {
    int before = scenario.clients.succeeded;
    fleet.advance(millis);
    assertWithMessage("served %s", when)
        .that(scenario.clients.succeeded - before)
        .isAtLeast(statements);
  }

  private void assertNoPromotionYet() {
    assertThat(scenario.clients.violations).isEmpty();
    assertThat(fleet.promotions).isEmpty();
  }

  private void awaitPromotion(long limitMillis) {
    scenario.advanceUntil("a promotion", limitMillis, () -> !fleet.promotions.isEmpty());
  }

  // Guards against a promotion beside a home that is cut off by resets and still holds its lease.
  @Test
  void testPromotionWaitsForLeaseOfHomeThatRefusesConnections() {
    scenario.begin();
    ModelHost isolated = scenario.home();
    scenario.isolateWithRefusals(isolated);
    fleet.putServer("server-a", true);
    scenario.advanceUntil(
        "another home", CHANGE_MILLIS, () -> scenario.homeOtherThan(isolated) != null);
    requireServed("by the primary that drains", 5_000, 400);
    fleet.advance(LEASE_MILLIS - 6_000);
    assertNoPromotionYet();
    awaitPromotion(1_000 + CHANGE_MILLIS);
    scenario.recover();
    scenario.finish();
  }

  // Guards against a promotion beside a successor that is cut off by resets and stands in.
  @Test
  void testPromotionWaitsForLeaseOfSuccessorThatRefusesConnections() {
    scenario.begin();
    fleet.advance(4_000);
    ModelHost isolated = successor();
    scenario.isolateWithRefusals(isolated);
    scenario.advanceUntilLogged("standing-in", CHANGE_MILLIS);
    fleet.putServer("server-a", true);
    fleet.advance(LEASE_MILLIS - 1_000);
    assertNoPromotionYet();
    awaitPromotion(1_000 + CHANGE_MILLIS);
    scenario.recover();
    scenario.finish();
  }

  // Guards against a wait that goes on though a new process runs in the place of the killed home.
  @Test
  void testRestartOfKilledHomeEndsTheWait() {
    scenario.begin();
    ModelHost killed = scenario.home();
    killed.kill();
    fleet.putServer("server-a", true);
    fleet.advance(CHANGE_MILLIS);
    assertThat(fleet.promotions).isEmpty();
    killed.start();
    awaitPromotion(1_500);
    scenario.recover();
    scenario.finish();
  }

  // Guards against a wait without an end for a home that does not return.
  @Test
  void testLeaseOfKilledHomeEndsTheWait() {
    scenario.begin();
    scenario.home().kill();
    fleet.putServer("server-a", true);
    fleet.advance(LEASE_MILLIS - 1_000);
    assertThat(fleet.promotions).isEmpty();
    awaitPromotion(1_000 + CHANGE_MILLIS);
    scenario.recover();
    scenario.finish();
  }
}
