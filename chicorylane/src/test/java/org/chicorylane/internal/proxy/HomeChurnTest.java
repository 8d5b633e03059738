package org.chicorylane.internal.proxy;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import java.util.Random;
import org.chicorylane.internal.election.HomeRecord;
import org.chicorylane.internal.platform.ReadResult;
import org.junit.jupiter.api.Test;

/** How often a home changes when one is lost. */
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
  void testHomesThatAnOutageDroveTogetherSpreadAgain() {
    ModelFleet several = new ModelFleet(4, 3);
    several.start();
    several.hosts().stream().skip(1).forEach(ModelHost::kill);
    several.advance(3_000);
    assertThat(several.homesAt(several.hosts().get(0))).isEqualTo(4);
    several.hosts().stream().skip(1).forEach(ModelHost::start);
    several.advance(25_000);
    for (ModelHost host : several.hosts()) {
      assertThat(several.homesAt(host)).isEqualTo(1);
    }
  }

  @Test
  void testLostHomeIsReplacedOnceAlthoughAnotherInstanceIsSilent() {
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
