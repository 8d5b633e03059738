package org.chicorylane.internal.proxy;

import static com.google.common.truth.Truth.assertThat;

import org.chicorylane.internal.passthrough.ModelServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

/**
 * The only replica that holds the latest commits starts again empty while the primary is down. All
 * replicas report, but the home knows of a later commit than any of them holds.
 */
final class EmptyReplicaPromotionTest {

  @RegisterExtension private final FleetScenario scenario = new FleetScenario(1);
  private final ModelFleet fleet = scenario.fleet;
  private final ModelServer primary = scenario.server("server-a");
  private final ModelServer behind = scenario.server("server-b");
  private final ModelServer emptied = scenario.server("server-c");

  private void loseReplicaAndPrimary() {
    scenario.begin();
    behind.ignoresReplication = true;
    fleet.advance(1_500);
    primary.crash();
    emptied.restartEmpty();
    fleet.advance(3_000);
  }

  // Guards against promoting the longest log of all that reported, which lacks acknowledged
  // commits.
  @Test
  void testPrimaryIsAwaitedThatAloneHoldsTheLatestCommits() {
    loseReplicaAndPrimary();
    assertThat(fleet.promotions).isEmpty();
    primary.restart();
    fleet.advance(2_000);
    assertThat(scenario.clients.succeeded).isGreaterThan(0);
    scenario.recover();
    scenario.finish();
  }

  // Guards against waiting for ever for commits that no server holds any more.
  @Test
  void testLongestLogIsPromotedWhenThePrimaryHasLeftForGood() {
    loseReplicaAndPrimary();
    scenario.removeEntry(primary.id());
    fleet.advance(58_000);
    assertThat(fleet.promotions).isEmpty();
    fleet.advance(8_000);
    assertThat(fleet.promotions).containsExactly(behind.id());
    assertThat(fleet.lines.stream().filter(l -> l.contains("acknowledged-commits-lost")))
        .isNotEmpty();
  }

  // Guards against a failover that waits for commits which the group's declaration lets it lose.
  @Test
  void testPrimaryIsNotAwaitedIfNoReplicaHasToConfirmCommits() {
    fleet.confirmingReplicas = 0;
    loseReplicaAndPrimary();
    assertThat(fleet.promotions).containsExactly(behind.id());
  }
}
