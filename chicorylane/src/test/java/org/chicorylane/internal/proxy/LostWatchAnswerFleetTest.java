package org.chicorylane.internal.proxy;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Fleets in which the store's answer to a watch is lost. The watch then waits for its timeout,
 * which is longer than a configuration may take to be in force.
 */
final class LostWatchAnswerFleetTest {

  /** Time after an acknowledged configuration within which it must be in force. */
  private static final long APPLY_MILLIS = 3_000;

  private static final long LIMIT_MILLIS = 15_000;

  private long version = 1;

  private static ModelFleet start(int instances, int zoneSize) {
    ModelFleet fleet = new ModelFleet(instances);
    fleet.zoneSize = zoneSize;
    fleet.start();
    new ModelClients(fleet, new Random(1)).begin(9);
    fleet.advance(3_000);
    return fleet;
  }

  /** Writes a configuration and returns the time until all instances have it, in ms. */
  private long millisUntilInForce(ModelFleet fleet) {
    fleet.putConfiguration(++version);
    long millis = 0;
    while (millis < LIMIT_MILLIS
        && !fleet.hosts().stream().allMatch(h -> h.instance.configurationVersion() == version)) {
      fleet.advance(10);
      millis += 10;
    }
    return millis;
  }

  // Guards against a configuration that waits for the timeout of a watch whose answer was lost.
  @Test
  void testConfigurationIsInForceThoughWatchAnswerWasLost() {
    ModelFleet fleet = start(3, 1);
    for (ModelHost host : fleet.hosts()) {
      host.losesWatchAnswers = true;
      fleet.scheduler.schedule(Duration.ofMillis(100), () -> host.losesWatchAnswers = false);
      assertWithMessage("ms until in force, answer to %s lost", host.name)
          .that(millisUntilInForce(fleet))
          .isLessThan(APPLY_MILLIS);
      fleet.advance(LIMIT_MILLIS);
    }
  }

  // Guards against a change that a relay misses, and with it all instances that follow the relay.
  @Test
  void testConfigurationReachesFollowersOfRelaysWhoseWatchAnswersWereLost() {
    ModelFleet fleet = start(16, 8);
    List<ModelHost> hosts = fleet.hosts();
    hosts.forEach(h -> h.losesWatchAnswers = true);
    fleet.scheduler.schedule(
        Duration.ofMillis(100), () -> hosts.forEach(h -> h.losesWatchAnswers = false));
    assertThat(millisUntilInForce(fleet)).isLessThan(APPLY_MILLIS);
  }

  // Guards against a configuration that no instance has, because every watch answer was lost.
  @Test
  void testConfigurationIsInForceThoughAllWatchAnswersWereLost() {
    ModelFleet fleet = start(7, 3);
    fleet.hosts().forEach(h -> h.losesWatchAnswers = true);
    fleet.scheduler.schedule(
        Duration.ofMillis(100), () -> fleet.hosts().forEach(h -> h.losesWatchAnswers = false));
    assertThat(millisUntilInForce(fleet)).isLessThan(APPLY_MILLIS);
  }
}
