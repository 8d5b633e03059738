package org.chicorylane.internal.proxy;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import java.util.Random;
import org.chicorylane.internal.election.HomeRecord;
import org.chicorylane.internal.platform.ReadResult;
import org.junit.jupiter.api.Test;

/**
 * Homes must not change more often than a fault requires, and must spread again after it.
 *
 * <p>Two failures are guarded against. An outage leaves one instance as the home of all groups, and
 * the groups stay there after the other instances are back. Or several instances replace the same
 * lost home, one after the other, because further instances do not respond.
 */
final class HomeChurnTest {

  private final ModelFleet fleet = new ModelFleet(6);

  private long epoch() {
    ReadResult read = fleet.store.get(HomeRecord.keyOf("plans")).join();
    return Optional.of(read)
        .map(ReadResult.Read.class::cast)
        .flatMap(ReadResult.Read::first)
        .flatMap(e -> HomeRecord.decode(e, p -> {}))
        .map(HomeRecord::epoch)
        .orElseThrow();
  }

  @Test
  void testHomesOnOneInstanceAfterAnOutageSpreadAgain() {
    ModelFleet severalGroups = new ModelFleet(4, 3);
    severalGroups.start();
    severalGroups.hosts().stream().skip(1).forEach(ModelHost::kill);
    severalGroups.advance(3_000);
    assertThat(severalGroups.homesAt(severalGroups.hosts().get(0))).isEqualTo(4);
    severalGroups.hosts().stream().skip(1).forEach(ModelHost::start);
    severalGroups.advance(25_000);
    for (ModelHost host : severalGroups.hosts()) {
      assertThat(severalGroups.homesAt(host)).isEqualTo(1);
    }
  }

  @Test
  void testLostHomeIsReplacedOnceWhileOtherInstancesAreUnresponsive() {
    fleet.start();
    new ModelClients(fleet, new Random(1)).begin(9);
    fleet.advance(2_000);
    final long before = epoch();
    ModelHost home = fleet.home().orElseThrow();
    home.freeze();
    fleet.hosts().stream().filter(h -> h != home).limit(2).forEach(ModelHost::freeze);
    fleet.advance(4_000);
    assertThat(epoch()).isEqualTo(before + 1);
  }
}
