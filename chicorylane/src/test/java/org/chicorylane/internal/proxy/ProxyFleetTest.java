package org.chicorylane.internal.proxy;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.chicorylane.internal.election.ElectionTimings;
import org.chicorylane.internal.entry.ClientSession;
import org.chicorylane.internal.passthrough.Answer;
import org.chicorylane.internal.passthrough.ClientStatement;
import org.chicorylane.internal.passthrough.ModelServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * One fault at a time against a whole simulated fleet with clients.
 *
 * <p>Guards against writes that stay interrupted for too long after a fault, needless promotions, a
 * second home of one group, and lost, repeated or stale data. {@link ModelClients} checks the data
 * at each statement and at the end.
 */
final class ProxyFleetTest {

  private final ModelFleet fleet = new ModelFleet(4);
  private final ModelClients clients = new ModelClients(fleet, new Random(1));

  private void begin() {
    fleet.start();
    clients.begin(9);
    fleet.advance(2_000);
  }

  private void finish() {
    clients.stop();
    fleet.advance(4_000);
    clients.checkLog();
    assertThat(clients.violations).isEmpty();
    assertThat(fleet.violations).isEmpty();
  }

  /**
   * Injects a fault and returns the milliseconds until the first write that is acknowledged more
   * than 60 ms later.
   *
   * @param watchMillis returned if no write is acknowledged within this time
   */
  private long millisWithoutWriteAfter(Runnable fault, long watchMillis) {
    long since = fleet.scheduler.millis();
    fault.run();
    for (long t = 0; t < watchMillis; t += 20) {
      fleet.advance(20);
      if (clients.lastWriteMillis > since + 60) {
        return clients.lastWriteMillis - since;
      }
    }
    return watchMillis;
  }

  @Test
  void testFleetWithoutFaultsServesEveryStatement() {
    begin();
    fleet.advance(5_000);
    assertThat(clients.succeeded).isGreaterThan(500);
    assertThat(clients.refused + clients.uncertain).isEqualTo(0);
    assertThat(fleet.promotions).isEmpty();
    finish();
  }

  @Test
  void testCrashedPrimaryIsReplacedWithinOneSecondPlusThePromotion() {
    begin();
    long gap = millisWithoutWriteAfter(() -> fleet.group.server("server-a").crash(), 5_000);
    assertWithMessage("ms without a write").that(gap).isLessThan(1_300);
    assertThat(fleet.promotions).hasSize(1);
    fleet.group.server("server-a").restart();
    fleet.advance(2_000);
    finish();
  }

  @Test
  void testUnresponsivePrimaryIsReplaced() {
    begin();
    long gap =
        millisWithoutWriteAfter(() -> fleet.group.server("server-a").unresponsive = true, 6_000);
    assertWithMessage("ms without a write").that(gap).isLessThan(2_300);
    finish();
  }

  @Test
  void testKilledHomeIsReplacedWithoutPromotion() {
    begin();
    ModelHost home = fleet.home().orElseThrow();
    long gap = millisWithoutWriteAfter(home::kill, 5_000);
    assertWithMessage("ms without a write").that(gap).isLessThan(1_000);
    assertThat(fleet.promotions).isEmpty();
    finish();
  }

  @Test
  void testFrozenHomeIsReplacedAndStepsDownWhenItResumes() {
    begin();
    ModelHost home = fleet.home().orElseThrow();
    home.freeze();
    fleet.advance(6_000);
    home.thaw();
    fleet.advance(3_000);
    assertThat(fleet.hosts().stream().filter(h -> h.instance.isHomeOf("plans")).count())
        .isEqualTo(1);
    finish();
  }

  /** Returns the longest time without a write after the home and the primary are lost together. */
  private long millisWithoutWriteAfterLossOf(ModelHost home) {
    return millisWithoutWriteAfter(
        () -> {
          home.kill();
          fleet.group.server("server-a").crash();
        },
        15_000);
  }

  @Test
  void testHomeAndPrimaryLostTogetherAreBothReplaced() {
    begin();
    ModelHost home = fleet.home().orElseThrow();
    fleet.scheduler.schedule(Duration.ofMillis(600), home::start);
    long gap = millisWithoutWriteAfterLossOf(home);
    assertWithMessage("ms without a write").that(gap).isLessThan(2_300);
    finish();
  }

  // Guards against a wait for the lost home that is longer than its lease.
  @Test
  void testHomeThatDoesNotReturnAndPrimaryAreBothReplacedAfterTheLease() {
    begin();
    long gap = millisWithoutWriteAfterLossOf(fleet.home().orElseThrow());
    long lease = ElectionTimings.defaults().validity().toMillis();
    assertWithMessage("ms without a write").that(gap).isLessThan(lease + 2_300);
    finish();
  }

  @Test
  void testHomeIsolatedWithThePrimaryServesNoStaleReads() {
    begin();
    ModelHost home = fleet.home().orElseThrow();
    Partition partition = Partition.begin(fleet, home, fleet.group.server("server-a"));
    fleet.advance(16_000);
    assertThat(fleet.promotions).isNotEmpty();
    partition.end();
    fleet.advance(4_000);
    finish();
  }

  @Test
  void testPrimaryIsolatedFromItsReplicasIsReplaced() {
    begin();
    fleet.group.server("server-a").isolatedFromServers = true;
    fleet.advance(5_000);
    assertThat(fleet.promotions).hasSize(1);
    assertThat(clients.lastWriteMillis).isGreaterThan(fleet.scheduler.millis() - 500);
    fleet.group.server("server-a").isolatedFromServers = false;
    fleet.advance(2_000);
    finish();
  }

  @Test
  void testLostCommitAnswersCauseNoPromotion() {
    begin();
    for (int i = 0; i < 10; i++) {
      fleet.group.server("server-a").loseNextAnswer = true;
      fleet.advance(900);
    }
    assertThat(fleet.promotions).isEmpty();
    finish();
  }

  @Test
  void testReplicaThatMissesAcknowledgedCommitsIsNotPromoted() {
    begin();
    ModelServer stalledReplica = fleet.group.server("server-c");
    stalledReplica.ignoresReplication = true;
    fleet.advance(2_000);
    fleet.group.server("server-a").crash();
    fleet.advance(6_000);
    assertThat(fleet.promotions).doesNotContain("server-c");
    stalledReplica.ignoresReplication = false;
    fleet.group.server("server-a").restart();
    fleet.advance(6_000);
    finish();
  }

  @Test
  void testStoreOutageCausesNoRefusals() {
    begin();
    fleet.storeDown = true;
    int refused = clients.refused;
    fleet.advance(7_000);
    assertThat(clients.refused).isEqualTo(refused);
    fleet.storeDown = false;
    fleet.advance(1_000);
    finish();
  }

  /** Times of an outage's start after the same preparation, in steps that fall between timers. */
  static IntStream outageOffsetsMillis() {
    return IntStream.range(0, 60).map(i -> i * 47);
  }

  @ParameterizedTest
  @MethodSource("outageOffsetsMillis")
  void testStoreThatRefusesAllCallsIsCalledAtLowRate(int offsetMillis) {
    begin();
    fleet.advance(offsetMillis);
    fleet.storeDown = true;
    fleet.storeRefuses = true;
    fleet.advance(1_000);
    int before = fleet.hosts().stream().mapToInt(h -> h.storeCalls).sum();
    fleet.advance(5_000);
    int calls = fleet.hosts().stream().mapToInt(h -> h.storeCalls).sum() - before;
    // Once a second each: the three prefixes that an instance follows, and its home records.
    assertWithMessage("calls of 4 instances in 5 s").that(calls).isAtMost(4 * 4 * 5);
    fleet.storeDown = false;
    fleet.advance(1_500);
    finish();
  }

  @Test
  void testHomeIsolatedFromStoreContinuesThroughOtherInstances() {
    begin();
    ModelHost home = fleet.home().orElseThrow();
    home.storeUnreachable = true;
    int refused = clients.refused;
    fleet.advance(15_000);
    assertThat(clients.refused - refused).isAtMost(2);
    home.storeUnreachable = false;
    fleet.advance(1_000);
    finish();
  }

  @Test
  void testSuccessorServesWhenHomeIsLostDuringStoreOutage() {
    begin();
    fleet.storeDown = true;
    fleet.advance(500);
    ModelHost home = fleet.home().orElseThrow();
    long gap = millisWithoutWriteAfter(home::freeze, 6_000);
    assertWithMessage("ms without a write").that(gap).isLessThan(2_000);
    fleet.advance(3_000);
    home.thaw();
    fleet.storeDown = false;
    fleet.advance(3_000);
    finish();
  }

  @Test
  void testPromotionWaitsForTheSuccessorToStop() {
    begin();
    fleet.storeDown = true;
    ModelHost home = fleet.home().orElseThrow();
    home.kill();
    fleet.advance(3_000);
    assertThat(fleet.home()).isPresent();
    fleet.storeDown = false;
    fleet.advance(500);
    home.start();
    fleet.group.server("server-a").crash();
    fleet.advance(4_000);
    assertThat(fleet.promotions).hasSize(1);
    fleet.group.server("server-a").restart();
    fleet.advance(2_000);
    finish();
  }

  @Test
  void testDrainingPrimaryIsReplacedBeforeItStops() {
    begin();
    fleet.putServer("server-a", true);
    fleet.advance(3_000);
    assertThat(fleet.promotions).hasSize(1);
    assertThat(fleet.group.server("server-a").primary).isFalse();
    finish();
  }

  @Test
  void testWritesContinueWhenThePrimaryServerIsReplaced() {
    begin();
    long gap = millisWithoutWriteAfter(() -> fleet.replaceServer("server-a", "server-d"), 8_000);
    assertWithMessage("ms without a write").that(gap).isLessThan(1_300);
    finish();
  }

  @Test
  void testDrainingHomeHandsOverWithoutUncertainOutcomes() {
    begin();
    ModelHost home = fleet.home().orElseThrow();
    final int uncertain = clients.uncertain;
    home.instance.drain(Duration.ofSeconds(4), home::kill);
    fleet.advance(6_000);
    assertThat(home.running).isFalse();
    assertThat(clients.uncertain).isEqualTo(uncertain);
    finish();
  }

  @Test
  void testTransactionContinuesAfterItsHomeHandedOver() {
    begin();
    ModelHost home = fleet.home().orElseThrow();
    ModelHost entry = fleet.hosts().stream().filter(h -> h != home).findFirst().orElseThrow();
    ClientSession session = entry.openSession(ModelFleet.OWN, () -> {});
    List<Answer> answers = new ArrayList<>();
    session.run("begin", new ClientStatement.Begin(false), answers::add);
    fleet.advance(100);
    session.run("write", new ClientStatement.Write("WRITE item data"), answers::add);
    fleet.advance(100);
    home.instance.drain(Duration.ofSeconds(4), home::kill);
    fleet.advance(1_000);
    assertThat(home.instance.isHomeOf("plans")).isFalse();
    session.run("commit", new ClientStatement.Commit(), answers::add);
    fleet.advance(500);
    assertThat(answers.stream().map(Answer::succeeded)).containsExactly(true, true, true);
    finish();
  }

  @Test
  void testReplacedHomeOrdersNoFurtherPromotion() {
    begin();
    fleet.promotionService.losesCalls = true;
    fleet.group.server("server-a").crash();
    fleet.advance(1_500);
    ModelHost home = fleet.home().orElseThrow();
    home.instance.drain(Duration.ofSeconds(4), home::kill);
    fleet.advance(2_000);
    fleet.promotionService.losesCalls = false;
    fleet.advance(3_000);
    fleet.group.server("server-a").restart();
    fleet.advance(3_000);
    finish();
  }

  @Test
  void testFleetRecoversAfterAllInstancesAreKilledAtOnce() {
    begin();
    fleet.hosts().forEach(ModelHost::kill);
    fleet.advance(1_000);
    fleet.hosts().forEach(ModelHost::start);
    int before = clients.succeeded;
    fleet.advance(3_000);
    assertThat(clients.succeeded - before).isGreaterThan(100);
    finish();
  }
}
