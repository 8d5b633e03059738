package org.chicorylane.internal.proxy;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.chicorylane.internal.election.ElectionTimings;
import org.chicorylane.standin.platform.KeyValueEngine;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

/**
 * The system clock of an instance jumps ahead while it waits for the end of what another one may
 * hold. A jump ends what the instance holds itself, but no wait.
 */
final class ClockJumpTest {

  /** Longer than a lease. */
  private static final Duration JUMP = Duration.ofSeconds(10);

  private static final long LEASE_MILLIS = ElectionTimings.defaults().validity().toMillis();

  @RegisterExtension private final FleetScenario scenario = new FleetScenario(4);
  private final ModelFleet fleet = scenario.fleet;

  private ModelHost awaitHomeOtherThan(ModelHost isolated) {
    scenario.advanceUntil("another home", 5_000, () -> scenario.homeOtherThan(isolated) != null);
    return scenario.homeOtherThan(isolated);
  }

  private void finish() {
    fleet.advance(LEASE_MILLIS + 2_500);
    scenario.recover();
    scenario.finish();
  }

  // Guards against a promotion beside an isolated home whose lease ends later than a jump tells.
  @Test
  void testJumpDoesNotEndTheWaitForTheLeaseOfAnEarlierHome() {
    scenario.begin();
    ModelHost isolated = scenario.home();
    scenario.isolate(isolated);
    ModelHost home = awaitHomeOtherThan(isolated);
    fleet.putServer("server-a", true);
    fleet.advance(1_000);
    home.clockJump = JUMP;
    fleet.advance(LEASE_MILLIS - 2_000);
    assertThat(fleet.promotions).isEmpty();
    finish();
    assertThat(fleet.promotions).isNotEmpty();
  }

  // Guards against a promotion beside a home that the store's copy has forgotten.
  @Test
  void testJumpDoesNotEndTheWaitForLeasesOfEarlierEras() {
    fleet.start();
    KeyValueEngine.Copy copy = fleet.store.engine().copy();
    scenario.clients.begin(9);
    fleet.advance(3_000);
    fleet.restoreStore(copy, 300);
    fleet.advance(1_000);
    ModelHost home = scenario.home();
    fleet.putServer("server-a", true);
    home.clockJump = JUMP;
    fleet.advance(LEASE_MILLIS - 3_000);
    assertThat(fleet.promotions).isEmpty();
    finish();
  }
}
