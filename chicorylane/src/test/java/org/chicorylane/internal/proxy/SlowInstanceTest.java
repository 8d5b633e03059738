package org.chicorylane.internal.proxy;

import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

/**
 * Instances that are slow, but not dead. A home that has only just begun keeps its work; one that
 * turns slow later gives its groups to others.
 */
final class SlowInstanceTest {

  private static final Duration SLOWNESS = Duration.ofMillis(1_000);

  @RegisterExtension private final FleetScenario scenario = new FleetScenario(5);
  private final ModelFleet fleet = scenario.fleet;

  private long count(String event) {
    return fleet.lines.stream().filter(line -> line.contains(event)).count();
  }

  // Restart of everything: cold processes answer late, and moving the home serves nobody sooner.
  @Test
  void testHomeThatHasJustBegunIsNotReplacedWhileItAnswersLate() {
    scenario.begin();
    fleet.hosts().forEach(ModelHost::kill);
    fleet.advance(500);
    fleet.lines.clear();
    fleet.hosts().forEach(ModelHost::start);
    scenario.advanceUntilLogged("home-begun", 2_000);
    ModelHost home = scenario.home();
    home.slowness = SLOWNESS;
    fleet.advance(3_000);
    home.slowness = Duration.ZERO;
    assertWithMessage("homes that have begun").that(count("home-begun")).isEqualTo(1);
    scenario.recover();
    scenario.finish();
  }

  // One slow instance must not hold up the callers of all others.
  @Test
  void testHomeThatTurnsSlowIsReplaced() {
    scenario.begin();
    ModelHost home = scenario.home();
    fleet.advance(6_000);
    home.slowness = SLOWNESS;
    scenario.advanceUntil("another home", 6_000, () -> scenario.homeOtherThan(home) != null);
    home.slowness = Duration.ZERO;
    scenario.recover();
    scenario.finish();
  }

  @Test
  void testHomeThatLosesPowerRightAfterItHasBegunIsReplaced() {
    scenario.begin();
    ModelHost first = scenario.home();
    first.kill();
    scenario.advanceUntil("a home", 4_000, () -> scenario.homeOtherThan(first) != null);
    ModelHost second = scenario.homeOtherThan(first);
    second.freeze();
    scenario.advanceUntil("a third home", 4_000, () -> scenario.homeOtherThan(second) != null);
    second.thaw();
    scenario.recover();
    scenario.finish();
  }
}
