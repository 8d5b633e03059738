package org.chicorylane.internal.proxy;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.Random;
import java.util.function.Predicate;
import org.chicorylane.standin.platform.KeyValueEngine;
import org.junit.jupiter.api.Test;

/**
 * A fleet in two availability zones of eight instances each, in which two instances a zone watch
 * the store and the others follow those.
 *
 * <p>Guards against calls to the store that grow with the number of instances, and against
 * instances that are left behind when the relays of their zone stop, fall silent or lose the store.
 */
final class WatchRelayFleetTest {

  private static final int INSTANCES = 16;

  private final ModelFleet fleet = new ModelFleet(INSTANCES, 5);
  private final ModelClients clients = new ModelClients(fleet, new Random(1));
  private long version = 1;

  private void begin() {
    fleet.zoneSize = 8;
    fleet.logging = true;
    fleet.start();
    clients.begin(9);
    fleet.advance(3_000);
  }

  private void finish() {
    clients.stop();
    fleet.advance(4_000);
    clients.checkLog();
    assertThat(clients.violations).isEmpty();
    assertThat(fleet.violations).isEmpty();
  }

  /** Returns the instances that watch the store though they are the home of no group. */
  private List<ModelHost> relays() {
    return fleet.hosts().stream().filter(h -> h.openWatches > 0 && fleet.homesAt(h) == 0).toList();
  }

  private List<ModelHost> relaysOfFirstZone() {
    return relays().stream().filter(h -> fleet.zoneOf(h.name).equals("zone-0")).toList();
  }

  /** Writes a configuration and returns the time until all instances that run have it, in ms. */
  private long millisUntilInForce(long limitMillis, Predicate<ModelHost> counted) {
    version++;
    fleet.putConfiguration(version);
    for (long millis = 0; millis < limitMillis; millis += 10) {
      fleet.advance(10);
      boolean everywhere =
          fleet.hosts().stream()
              .filter(counted)
              .filter(h -> h.running && !h.frozen && h.instance != null)
              .allMatch(h -> h.instance.configurationVersion() == version);
      if (everywhere) {
        return millis;
      }
    }
    return limitMillis;
  }

  @Test
  void testOnlyHomesAndTwoInstancesOfEachZoneWatchTheStore() {
    begin();
    assertThat(relays().size()).isAtMost(4);
    long homes = fleet.hosts().stream().filter(h -> fleet.homesAt(h) > 0).count();
    long watching = fleet.hosts().stream().filter(h -> h.openWatches > 0).count();
    assertThat(watching).isAtLeast(Math.max(4, homes));
    assertThat(watching).isAtMost(4 + homes);
    finish();
  }

  // Registrations and records change often after a restart of everything; each ends all watches.
  @Test
  void testHomesThatAreNoRelaysWatchOnlyTheServers() {
    begin();
    long homes = fleet.hosts().stream().filter(h -> fleet.homesAt(h) > 0).count();
    int watches = fleet.hosts().stream().mapToInt(h -> h.openWatches).sum();
    assertThat(watches).isAtLeast(4 * 3);
    assertThat(watches).isAtMost((int) (4 * 3 + homes));
    finish();
  }

  @Test
  void testChangeReachesAllInstancesAtOnce() {
    begin();
    assertThat(millisUntilInForce(1_000, h -> true)).isLessThan(100);
    finish();
  }

  @Test
  void testFollowersOfKilledRelaysAreNotLeftBehind() {
    begin();
    relaysOfFirstZone().forEach(ModelHost::kill);
    fleet.advance(100);
    assertThat(millisUntilInForce(5_000, h -> true)).isLessThan(1_000);
    finish();
  }

  @Test
  void testFollowersOfSilentRelaysAreNotLeftBehind() {
    begin();
    List<ModelHost> silent = relaysOfFirstZone();
    silent.forEach(ModelHost::freeze);
    assertThat(millisUntilInForce(10_000, h -> true)).isLessThan(5_500);
    silent.forEach(ModelHost::thaw);
    fleet.advance(3_000);
    finish();
  }

  @Test
  void testFollowersOfRelaysWithoutTheStoreAreNotLeftBehind() {
    begin();
    List<ModelHost> cut = relaysOfFirstZone();
    cut.forEach(h -> h.storeUnreachable = true);
    fleet.advance(4_000);
    assertThat(millisUntilInForce(5_000, h -> !cut.contains(h))).isLessThan(1_500);
    cut.forEach(h -> h.storeUnreachable = false);
    fleet.advance(3_000);
    finish();
  }

  @Test
  void testOutageCausesNoCallsOfFollowersThatAreNotHomes() {
    begin();
    List<ModelHost> idle = fleet.hosts().stream().filter(h -> h.openWatches == 0).toList();
    assertThat(idle).isNotEmpty();
    fleet.storeDown = true;
    fleet.storeRefuses = true;
    final int before = idle.stream().mapToInt(h -> h.storeCalls).sum();
    fleet.advance(4_500);
    // A successor of a home reads its record every two seconds.
    int calls = idle.stream().mapToInt(h -> h.storeCalls).sum() - before;
    assertWithMessage("calls in 4.5 s").that(calls).isAtMost(3 * idle.size());
    fleet.storeDown = false;
    fleet.advance(3_000);
    assertThat(millisUntilInForce(5_000, h -> true)).isLessThan(1_500);
    finish();
  }

  @Test
  void testRestoredStoreIsNoticedThroughRelays() {
    begin();
    KeyValueEngine.Copy copy = fleet.store.engine().copy();
    fleet.advance(1_000);
    fleet.restoreStore(copy, 500);
    fleet.advance(16_000);
    assertThat(millisUntilInForce(5_000, h -> true)).isLessThan(1_500);
    finish();
  }
}
