package org.chicorylane.internal.proxy;

import org.chicorylane.internal.passthrough.ModelServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

/**
 * The record of a promotion is written while the store does not answer, and the write is applied
 * after the home has returned to the old primary. The promotion must not rest on what the replicas
 * reported before that.
 */
final class UnsettledRecordPromotionTest {

  /** Time in which the home gives up the promotion and serves on the primary again. */
  private static final long RETURN_MILLIS = 2_400;

  @RegisterExtension private final FleetScenario scenario = new FleetScenario(4);
  private final ModelFleet fleet = scenario.fleet;
  private final ModelServer primary = scenario.server("server-a");

  private boolean isChosen(String serverId) {
    return fleet.lines.stream()
        .anyMatch(line -> line.contains(" promoting ") && line.contains("server=" + serverId));
  }

  // Guards against a promotion chosen before the home returned to the primary and let it commit.
  @Test
  void testPromotionRecordedAfterThePrimaryReturnedLosesNoCommits() {
    scenario.begin();
    fleet.storeDown = true;
    primary.unresponsive = true;
    scenario.advanceUntilLogged(" promoting ", 4_000);
    ModelServer chosen = scenario.server(isChosen("server-b") ? "server-b" : "server-c");
    ModelServer other = scenario.server(isChosen("server-b") ? "server-c" : "server-b");
    chosen.ignoresReplication = true;
    other.crash();
    fleet.advance(500);
    other.restart();
    primary.unresponsive = false;
    fleet.advance(RETURN_MILLIS);
    fleet.storeDown = false;
    fleet.advance(5_000);
    scenario.requirePromotion();
    scenario.recover();
    scenario.finish();
  }
}
