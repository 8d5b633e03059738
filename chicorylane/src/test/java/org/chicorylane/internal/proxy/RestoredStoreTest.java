package org.chicorylane.internal.proxy;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.Collectors;
import org.chicorylane.internal.election.HomeRecord;
import org.chicorylane.internal.platform.ReadResult;
import org.chicorylane.standin.platform.KeyValueEngine;
import org.junit.jupiter.api.Test;

/**
 * The key-value store comes back from a copy: what instances wrote since is gone, and revisions are
 * assigned again.
 *
 * <p>Guards against fencing tokens that fall, a promotion while an instance that the restored
 * record does not name still works, a primary that is forgotten, and followers that miss changes.
 */
final class RestoredStoreTest {

  private static final long AWAY_MILLIS = 2_000;

  /** Longer than a lease, after which a promotion must no longer wait for the restore. */
  private static final long PROMOTION_WAIT_MILLIS = 14_000;

  private final ModelFleet fleet = new ModelFleet(4);
  private final ModelClients clients = new ModelClients(fleet, new Random(1));

  private void begin() {
    fleet.start();
    clients.begin(9);
    fleet.advance(2_000);
  }

  private void finish() {
    final int before = clients.succeeded;
    fleet.advance(8_000);
    assertWithMessage("served at the end").that(clients.succeeded - before).isGreaterThan(200);
    clients.stop();
    fleet.advance(4_000);
    clients.checkLog();
    if (Boolean.getBoolean("fleet.log")) {
      fleet.lines.forEach(System.out::println);
    }
    assertThat(clients.violations).isEmpty();
    assertThat(fleet.violations).isEmpty();
  }

  private void restore(KeyValueEngine.Copy copy) {
    fleet.restoreStore(copy, AWAY_MILLIS);
    fleet.advance(AWAY_MILLIS + 1_000);
  }

  private HomeRecord storedRecord() {
    ReadResult read = fleet.store.get(HomeRecord.keyOf("plans")).join();
    return Optional.of(read)
        .map(ReadResult.Read.class::cast)
        .flatMap(ReadResult.Read::first)
        .flatMap(e -> HomeRecord.decode(e, p -> {}))
        .orElseThrow();
  }

  private Map<String, String> storedInstances() {
    ReadResult.Read read = (ReadResult.Read) fleet.store.range(InstanceRegistry.KEY_PREFIX).join();
    return read.entries().stream().collect(Collectors.toMap(e -> e.key(), e -> e.value()));
  }

  @Test
  void testFleetServesAfterRestore() {
    begin();
    KeyValueEngine.Copy copy = fleet.store.engine().copy();
    fleet.advance(3_000);
    restore(copy);
    assertThat(fleet.promotions).isEmpty();
    finish();
  }

  @Test
  void testFencingTokenDoesNotFallAfterRestore() {
    begin();
    final KeyValueEngine.Copy copy = fleet.store.engine().copy();
    fleet.group.server("server-a").crash();
    fleet.advance(3_000);
    assertThat(fleet.promotions).hasSize(1);
    fleet.group.server("server-a").restart();
    fleet.advance(2_000);
    restore(copy);
    fleet.group.server(fleet.promotions.get(0)).crash();
    fleet.advance(PROMOTION_WAIT_MILLIS);
    assertThat(fleet.promotions.size()).isAtLeast(2);
    fleet.group.server(fleet.promotions.get(0)).restart();
    finish();
  }

  @Test
  void testPromotedPrimaryIsNotForgottenAfterRestore() {
    begin();
    final KeyValueEngine.Copy copy = fleet.store.engine().copy();
    fleet.group.server("server-a").crash();
    fleet.advance(3_000);
    fleet.group.server("server-a").restart();
    fleet.advance(2_000);
    restore(copy);
    fleet.advance(2_000);
    assertThat(storedRecord().primaryId()).isEqualTo(fleet.promotions.get(0));
    assertThat(storedRecord().term()).isEqualTo(fleet.group.primary().term);
    finish();
  }

  @Test
  void testHomeThatTheRestoredRecordDoesNotNameStopsBeforePromotion() {
    begin();
    final KeyValueEngine.Copy copy = fleet.store.engine().copy();
    ModelHost first = fleet.home().orElseThrow();
    first.kill();
    fleet.advance(3_000);
    ModelHost second = fleet.home().orElseThrow();
    first.start();
    fleet.advance(2_000);
    second.storeUnreachable = true;
    fleet.hosts().forEach(h -> second.unreachableHosts.add(h.name));
    fleet.restoreStore(copy, AWAY_MILLIS);
    fleet.advance(AWAY_MILLIS + 200);
    final int promotionsBefore = fleet.promotions.size();
    fleet.hosts().stream()
        .filter(h -> h != second)
        .forEach(h -> h.unreachableServers.add("server-a"));
    fleet.advance(5_000);
    assertThat(fleet.promotions).hasSize(promotionsBefore);
    fleet.advance(PROMOTION_WAIT_MILLIS);
    fleet.hosts().forEach(h -> h.unreachableServers.clear());
    second.unreachableHosts.clear();
    second.storeUnreachable = false;
    finish();
  }

  /** No instance of the restored record is left to tell which server was promoted. */
  @Test
  void testPromotedPrimaryIsNotForgottenWhenItsHomeIsLost() {
    begin();
    final KeyValueEngine.Copy copy = fleet.store.engine().copy();
    final ModelHost home = fleet.home().orElseThrow();
    fleet.group.server("server-a").crash();
    fleet.advance(3_000);
    fleet.group.server("server-a").restart();
    fleet.advance(2_000);
    home.kill();
    restore(copy);
    fleet.advance(4_000);
    assertThat(storedRecord().primaryId()).isEqualTo(fleet.promotions.get(0));
    assertThat(storedRecord().home().name()).isNotEqualTo(home.name);
    home.start();
    finish();
  }

  /** A settled record spares an instance that starts later the wait for earlier eras. */
  @Test
  void testInstanceThatStartsInSettledEraPromotesWithoutWait() {
    begin();
    restore(fleet.store.engine().copy());
    fleet.advance(PROMOTION_WAIT_MILLIS);
    fleet.hosts().forEach(ModelHost::kill);
    fleet.hosts().forEach(ModelHost::start);
    fleet.advance(2_000);
    fleet.group.server("server-a").crash();
    fleet.advance(3_000);
    assertThat(fleet.promotions).hasSize(1);
    fleet.group.server("server-a").restart();
    finish();
  }

  @Test
  void testInstanceThatStartsAfterRestoreWaitsBeforePromotion() {
    begin();
    KeyValueEngine.Copy copy = fleet.store.engine().copy();
    fleet.hosts().forEach(ModelHost::kill);
    fleet.restoreStore(copy, 100);
    fleet.advance(500);
    fleet.hosts().forEach(ModelHost::start);
    fleet.advance(2_000);
    fleet.group.server("server-a").crash();
    fleet.advance(5_000);
    assertThat(fleet.promotions).isEmpty();
    fleet.advance(PROMOTION_WAIT_MILLIS);
    assertThat(fleet.promotions).hasSize(1);
    fleet.group.server("server-a").restart();
    finish();
  }

  @Test
  void testRecordThatTheCopyLacksIsWrittenAgain() {
    KeyValueEngine.Copy empty = fleet.store.engine().copy();
    begin();
    final String home = fleet.home().orElseThrow().name;
    restore(empty);
    assertThat(storedRecord().home().name()).isEqualTo(home);
    assertThat(storedRecord().primaryId()).isEqualTo("server-a");
    finish();
  }

  @Test
  void testInstancesRegisterAgainAfterRestore() {
    KeyValueEngine.Copy empty = fleet.store.engine().copy();
    begin();
    restore(empty);
    fleet.advance(1_000);
    assertThat(storedInstances()).hasSize(4);
    finish();
  }

  @Test
  void testLeavingInstanceIsDeletedAgainAfterRestore() {
    begin();
    KeyValueEngine.Copy copy = fleet.store.engine().copy();
    ModelHost leaving =
        fleet.hosts().stream().filter(h -> !h.instance.isHomeOf("plans")).findFirst().orElseThrow();
    leaving.instance.drain(Duration.ofSeconds(20), () -> {});
    fleet.advance(500);
    restore(copy);
    assertThat(storedInstances()).doesNotContainKey(InstanceRegistry.KEY_PREFIX + leaving.name);
    finish();
  }

  @Test
  void testFollowersSeeChangesAfterRestore() {
    begin();
    KeyValueEngine.Copy copy = fleet.store.engine().copy();
    for (int i = 2; i < 30; i++) {
      fleet.putConfiguration(i);
    }
    fleet.advance(1_000);
    restore(copy);
    fleet.putServer("server-a", true);
    fleet.advance(PROMOTION_WAIT_MILLIS);
    assertThat(fleet.group.server("server-a").primary).isFalse();
    finish();
  }
}
