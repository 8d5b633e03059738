package org.chicorylane.internal.proxy;

import static com.google.common.truth.Truth.assertThat;

import org.chicorylane.internal.passthrough.ModelServer;
import org.junit.jupiter.api.Test;

/**
 * The entry of the only replica that holds acknowledged commits has lapsed while that replica runs.
 * When the primary then dies, the replica that is still listed must not be promoted.
 */
final class IncompleteListPromotionTest {

  /** Longer than the time after which an instance removes a server whose entry is missing. */
  private static final long LAPSE_MILLIS = 3_500;

  private final FleetScenario scenario = new FleetScenario(4);
  private final ModelFleet fleet = scenario.fleet;
  private final ModelServer primary = scenario.server("server-a");
  private final ModelServer stalled = scenario.server("server-b");

  private void beginWithLapsedEntry() {
    scenario.begin();
    stalled.ignoresReplication = true;
    fleet.advance(500);
    scenario.removeEntry("server-c");
    fleet.advance(LAPSE_MILLIS);
  }

  private void crashPrimaryAndFinish() {
    primary.crash();
    fleet.advance(5_000);
    assertThat(fleet.violations).isEmpty();
    assertThat(fleet.promotions).doesNotContain("server-b");
    scenario.recover();
    scenario.finish();
  }

  // Guards against a home that takes the listed replicas for all replicas.
  @Test
  void testReplicaIsNotPromotedWhileTheEntryOfAnotherIsMissing() {
    beginWithLapsedEntry();
    crashPrimaryAndFinish();
  }

  // Guards against a home that learns of a replica only from the current list of servers.
  @Test
  void testHomeThatBeganAfterTheLapseDoesNotPromoteTheListedReplica() {
    beginWithLapsedEntry();
    ModelHost home = scenario.home();
    home.kill();
    fleet.advance(2_000);
    assertThat(scenario.home()).isNotEqualTo(home);
    crashPrimaryAndFinish();
  }

  // Guards against an instance that never saw the replica's entry.
  @Test
  void testInstanceStartedAfterTheLapseDoesNotPromoteTheListedReplica() {
    beginWithLapsedEntry();
    fleet.hosts().forEach(ModelHost::kill);
    fleet.advance(500);
    fleet.hosts().forEach(ModelHost::start);
    fleet.advance(3_000);
    crashPrimaryAndFinish();
  }
}
