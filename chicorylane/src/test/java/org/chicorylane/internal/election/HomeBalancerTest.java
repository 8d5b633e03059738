package org.chicorylane.internal.election;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.chicorylane.internal.topology.PeerInstance;
import org.junit.jupiter.api.Test;

/**
 * Tests that homes which a fault moved to one instance are distributed again. Guards against homes
 * that stay on one instance and against groups that move back and forth.
 */
final class HomeBalancerTest {

  private static final long SECOND = 1_000_000_000L;

  private final Map<String, PeerInstance> instances = new HashMap<>();
  private final Map<String, String> homes = new HashMap<>();

  private void addInstance(String name, int weight) {
    instances.put(name, new PeerInstance(name, "x", name + ":1", "zone", weight));
  }

  private int homesOf(String instance, String exceptGroup) {
    return (int)
        homes.entrySet().stream()
            .filter(e -> e.getValue().equals(instance) && !e.getKey().equals(exceptGroup))
            .count();
  }

  private Optional<String> chooseReceiver(HomeBalancer balancer, String group, long now) {
    List<PeerInstance> ranked =
        Candidates.rank(group, List.copyOf(instances.values()), n -> homesOf(n, group));
    return balancer.chooseReceiver(ranked, n -> homesOf(n, group), now).map(PeerInstance::name);
  }

  /** Runs the checks of all instances for 200 simulated seconds and returns the number of moves. */
  private int rebalanceUntilStable() {
    Map<String, HomeBalancer> balancers = new HashMap<>();
    instances.keySet().forEach(n -> balancers.put(n, new HomeBalancer(n)));
    int moves = 0;
    for (long now = 0; now < 200 * SECOND; now += SECOND) {
      for (String group : List.copyOf(homes.keySet())) {
        HomeBalancer balancer = balancers.get(homes.get(group));
        Optional<String> to =
            balancer.isDue(now) ? chooseReceiver(balancer, group, now) : Optional.empty();
        if (to.isPresent()) {
          homes.put(group, to.get());
          moves++;
        }
      }
    }
    return moves;
  }

  @Test
  void testHomesOfOneInstanceAreDistributedToAllInstances() {
    for (int i = 0; i < 8; i++) {
      addInstance("i" + i, 100);
      homes.put("g" + i, "i0");
    }
    assertThat(rebalanceUntilStable()).isEqualTo(7);
    assertThat(homes.values()).containsNoDuplicates();
  }

  @Test
  void testBalancedHomesDoNotMove() {
    for (int i = 0; i < 3; i++) {
      addInstance("i" + i, 100);
      homes.put("g" + i, "i" + i);
    }
    homes.put("g3", "i0");
    assertThat(rebalanceUntilStable()).isEqualTo(0);
  }

  @Test
  void testSmallInstanceGetsNoGroupFromLessLoadedLargeInstance() {
    addInstance("large", 1_000);
    addInstance("small", 100);
    for (int g = 0; g < 9; g++) {
      homes.put("g" + g, "large");
    }
    assertThat(rebalanceUntilStable()).isEqualTo(0);
  }

  @Test
  void testOnlyGroupOfAnInstanceDoesNotMoveToSlightlyLargerOne() {
    addInstance("i0", 100);
    addInstance("i1", 190);
    homes.put("g0", "i0");
    assertThat(rebalanceUntilStable()).isEqualTo(0);
  }

  @Test
  void testOnlyGroupOfSmallInstanceMovesOnceToMuchLargerOne() {
    addInstance("small", 23);
    addInstance("large", 150);
    homes.put("g0", "small");
    assertThat(rebalanceUntilStable()).isEqualTo(1);
    assertThat(homes).containsExactly("g0", "large");
  }

  // A large fleet: 15 machines with four times the processor share of the other 80.
  @Test
  void testGroupsOfLargeFleetEndOnItsLargeInstances() {
    for (int i = 0; i < 95; i++) {
      addInstance("i" + i, i < 15 ? 150 : 23);
    }
    for (int g = 0; g < 14; g++) {
      homes.put("g" + g, "i" + (20 + g));
    }
    assertThat(rebalanceUntilStable()).isAtMost(28);
    homes.values().forEach(home -> assertThat(instances.get(home).weight()).isEqualTo(150));
    assertThat(homes.values()).containsNoDuplicates();
  }

  @Test
  void testOneGroupMovesPerCheckInterval() {
    addInstance("i0", 100);
    addInstance("i1", 100);
    List<String> groups = new ArrayList<>(List.of("a", "b", "c", "d"));
    groups.forEach(g -> homes.put(g, "i0"));
    HomeBalancer balancer = new HomeBalancer("i0");
    assertThat(chooseReceiver(balancer, "a", 0)).hasValue("i1");
    assertThat(balancer.isDue(SECOND)).isFalse();
    assertThat(balancer.isDue(3 * SECOND)).isTrue();
    assertThat(chooseReceiver(balancer, "b", 3 * SECOND)).hasValue("i1");
  }
}
