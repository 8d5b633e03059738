package org.chicorylane.internal.proxy;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.chicorylane.internal.topology.PeerInstance;
import org.junit.jupiter.api.Test;

/**
 * Tests which instances watch the store. Guards against a fleet in which all instances do, and
 * against a zone in which none does.
 */
final class WatchRelaysTest {

  private static List<PeerInstance> fleet(int zones, int perZone) {
    List<PeerInstance> all = new ArrayList<>();
    for (int i = 0; i < zones * perZone; i++) {
      all.add(new PeerInstance("i" + i, "x", "i" + i + ":1", "zone-" + i % zones, 100));
    }
    return all;
  }

  private static List<PeerInstance> relaysAmong(List<PeerInstance> fleet) {
    return fleet.stream().filter(p -> new WatchRelays(p, () -> fleet).isRelay()).toList();
  }

  @Test
  void testLargeZonesHaveTwoRelaysEach() {
    assertThat(relaysAmong(fleet(5, 19))).hasSize(10);
  }

  @Test
  void testAllInstancesOfSmallZonesWatchTheStore() {
    assertThat(relaysAmong(fleet(3, 4))).hasSize(12);
  }

  @Test
  void testInstancesFollowTheRelaysOfTheirZoneFirst() {
    List<PeerInstance> fleet = fleet(5, 19);
    List<PeerInstance> relays = relaysAmong(fleet);
    for (PeerInstance self : fleet) {
      if (!relays.contains(self)) {
        List<PeerInstance> order = new WatchRelays(self, () -> fleet).inOrder();
        assertThat(order).containsExactlyElementsIn(relays);
        assertThat(order.get(0).zone()).isEqualTo(self.zone());
        assertThat(order.get(1).zone()).isEqualTo(self.zone());
      }
    }
  }

  @Test
  void testFollowersAreSpreadOverTheRelays() {
    List<PeerInstance> fleet = fleet(5, 19);
    Set<String> first = new TreeSet<>();
    fleet.forEach(p -> first.add(new WatchRelays(p, () -> fleet).inOrder().get(0).name()));
    assertThat(first).hasSize(10);
  }

  @Test
  void testLossOfOneRelayChangesOnlyItsZone() {
    List<PeerInstance> fleet = fleet(5, 19);
    List<PeerInstance> before = relaysAmong(fleet);
    List<PeerInstance> rest = new ArrayList<>(fleet);
    rest.remove(before.get(0));
    List<PeerInstance> kept = new ArrayList<>(before.subList(1, before.size()));
    assertWithMessage("relays after the loss")
        .that(relaysAmong(rest))
        .containsAtLeastElementsIn(kept);
    assertThat(relaysAmong(rest)).hasSize(10);
  }
}
