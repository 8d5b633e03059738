package org.chicorylane.internal.election;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.chicorylane.internal.topology.PeerInstance;
import org.junit.jupiter.api.Test;

/** Homes that one instance holds after a fault spread again. */
final class HomeBalanceTest {

  private static final long SECOND = 1_000_000_000L;

  private final Map<String, PeerInstance> instances = new HashMap<>();
  private final Map<String, String> homes = new HashMap<>();

  private void instance(String name, int weight) {
    instances.put(name, new PeerInstance(name, "x", name + ":1", "zone", weight));
  }

  private int homesOf(String instance, String exceptGroup) {
    return (int)
        homes.entrySet().stream()
            .filter(e -> e.getValue().equals(instance) && !e.getKey().equals(exceptGroup))
            .count();
  }

  private Optional<String> receiver(HomeBalancer balance, String group, long now) {
    List<PeerInstance> ranked =
        Candidates.rank(group, List.copyOf(instances.values()), n -> homesOf(n, group));
    return balance.receiver(ranked, n -> homesOf(n, group), now).map(PeerInstance::name);
  }

  /** Lets all homes look at their groups until none moves; returns the moves. */
  private int settle() {
    Map<String, HomeBalancer> balances = new HashMap<>();
    instances.keySet().forEach(n -> balances.put(n, new HomeBalancer(n)));
    int moves = 0;
    for (long now = 0; now < 200 * SECOND; now += SECOND) {
      for (String group : List.copyOf(homes.keySet())) {
        HomeBalancer balance = balances.get(homes.get(group));
        Optional<String> to = balance.isDue(now) ? receiver(balance, group, now) : Optional.empty();
        if (to.isPresent()) {
          homes.put(group, to.get());
          moves++;
        }
      }
    }
    return moves;
  }

  @Test
  void testAllHomesOnOneInstanceSpread() {
    for (int i = 0; i < 8; i++) {
      instance("i" + i, 100);
      homes.put("g" + i, "i0");
    }
    assertThat(settle()).isEqualTo(7);
    assertThat(homes.values()).containsNoDuplicates();
  }

  @Test
  void testSpreadHomesStay() {
    for (int i = 0; i < 3; i++) {
      instance("i" + i, 100);
      homes.put("g" + i, "i" + i);
    }
    homes.put("g3", "i0");
    assertThat(settle()).isEqualTo(0);
  }

  @Test
  void testSmallInstanceGetsNoGroupThatLargeOneCarriesBetter() {
    instance("large", 1_000);
    instance("small", 100);
    for (int g = 0; g < 9; g++) {
      homes.put("g" + g, "large");
    }
    assertThat(settle()).isEqualTo(0);
  }

  @Test
  void testOnlyHomeOfAnInstanceStays() {
    instance("i0", 100);
    instance("i1", 1_000);
    homes.put("g0", "i0");
    assertThat(settle()).isEqualTo(0);
  }

  @Test
  void testGroupsMoveOneByOne() {
    instance("i0", 100);
    instance("i1", 100);
    List<String> groups = new ArrayList<>(List.of("a", "b", "c", "d"));
    groups.forEach(g -> homes.put(g, "i0"));
    HomeBalancer balance = new HomeBalancer("i0");
    assertThat(receiver(balance, "a", 0)).hasValue("i1");
    assertThat(balance.isDue(SECOND)).isFalse();
    assertThat(balance.isDue(3 * SECOND)).isTrue();
    assertThat(receiver(balance, "b", 3 * SECOND)).hasValue("i1");
  }
}
