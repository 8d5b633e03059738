package org.chicorylane.internal.proxy;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Optional;
import java.util.Random;
import org.chicorylane.internal.election.HomeRecord;
import org.chicorylane.internal.platform.ReadResult;
import org.junit.jupiter.api.Test;

/** A successor that is removed from the record may still stand in until its lease ends. */
final class SuccessorRemovalTest {

  private final ModelFleet fleet = new ModelFleet(4);
  private final ModelClients clients = new ModelClients(fleet, new Random(1));

  private HomeRecord record() {
    ReadResult read = fleet.store.get(HomeRecord.keyOf("plans")).join();
    return Optional.of(read)
        .map(ReadResult.Read.class::cast)
        .flatMap(ReadResult.Read::first)
        .flatMap(e -> HomeRecord.decode(e, p -> {}))
        .orElseThrow();
  }

  /** The home learned of the removal by its watch and took the lease for one that it inherited. */
  @Test
  void testPromotionWaitsForRemovedSuccessorWhenTheAnswerToTheRemovalIsLost() {
    fleet.start();
    clients.begin(9);
    fleet.advance(12_000);
    ModelHost home = fleet.home().orElseThrow();
    HomeRecord.Holder successor = record().successor();
    assertThat(successor).isNotNull();
    ModelHost suspended = fleet.host(successor.name());
    suspended.freeze();
    home.storeWriteDelay = Duration.ofMillis(20);
    fleet.group.server("server-a").crash();
    fleet.advance(2_000);
    assertThat(record().successor()).isNull();
    fleet.advance(4_000);
    assertThat(fleet.promotions).isEmpty();
    home.storeWriteDelay = null;
    fleet.advance(10_000);
    assertThat(fleet.promotions).hasSize(1);
    suspended.thaw();
    fleet.group.server("server-a").restart();
    fleet.advance(4_000);
    clients.stop();
    fleet.advance(4_000);
    clients.checkLog();
    assertThat(clients.violations).isEmpty();
    assertThat(fleet.violations).isEmpty();
  }
}
