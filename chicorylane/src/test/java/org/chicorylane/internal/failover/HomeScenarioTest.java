package org.chicorylane.internal.failover;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.Set;
import org.chicorylane.internal.failover.FailoverModel.Mutation;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Single faults, each with the behaviour that the group must show. Guards against failovers that do
 * not happen, happen without need, or leave the group without writes. After each case no
 * acknowledged write may be lost.
 */
final class HomeScenarioTest {
  private FailoverModel model;

  @BeforeEach
  void startWithHome() {
    model = new FailoverModel(1, 3, 3, Mutation.NONE);
    model.prefer("i0");
    model.runFor(1_000);
    assertWrites(true);
  }

  @AfterEach
  void checkInvariants() {
    model.checkAcknowledged("at the end");
    assertWithMessage(model.describe()).that(model.violations).isEmpty();
  }

  private void assertWrites(boolean expected) {
    long before = model.now();
    model.runFor(300);
    assertWithMessage(model.describe()).that(model.lastAcknowledged > before).isEqualTo(expected);
  }

  private GroupRecord record() {
    return model.stored.record();
  }

  private ModelInstance instance(int index) {
    return model.instances.get(index);
  }

  @Test
  void testStoreOutageDoesNotAffectWritesWhilePrimaryIsHealthy() {
    model.storeUp = false;
    model.runFor(60_000);
    assertWrites(true);
    assertThat(record().term()).isEqualTo(1);
  }

  @Test
  void testNewHomeServesDuringStoreOutage() {
    model.storeUp = false;
    instance(0).alive = false;
    model.servers.values().forEach(s -> List.copyOf(s.sessions).forEach(s::end));
    model.prefer("i1");
    model.runFor(4_000);
    assertThat(instance(1).open.historyKnown()).isFalse();
    assertWrites(true);
  }

  @Test
  void testPrimaryThatReturnsDuringStoreOutageContinuesItsTerm() {
    model.storeUp = false;
    model.servers.get("s0").kill();
    model.runFor(5_000);
    assertWrites(false);
    model.servers.get("s0").alive = true;
    model.runFor(2_000);
    assertWrites(true);
    assertThat(record().term()).isEqualTo(1);
  }

  @Test
  void testPrimaryLostDuringStoreOutageIsReplacedAfterTheOutage() {
    model.storeUp = false;
    model.servers.get("s0").kill();
    model.runFor(5_000);
    model.storeUp = true;
    model.runFor(3_000);
    assertWrites(true);
    assertThat(record().term()).isEqualTo(2);
  }

  @Test
  void testNextHomeCompletesPromotionOfDeadPromoter() {
    model.servers.get("s0").kill();
    while (record().term() == 1) {
      model.runFor(1);
    }
    final String chosen = record().primary();
    instance(0).alive = false;
    model.servers.values().forEach(s -> List.copyOf(s.sessions).forEach(s::end));
    model.prefer("i1");
    model.runFor(2_000);
    assertWrites(true);
    assertThat(record().primary()).isEqualTo(chosen);
    assertThat(record().term()).isEqualTo(2);
  }

  @Test
  void testSealsAreUndoneWhenPrimaryReturnsBeforeSwap() {
    model.servers.get("s0").kill();
    while (model.servers.get("s1").upstream != null) {
      model.runFor(1);
    }
    model.storeUp = false;
    model.servers.get("s0").alive = true;
    model.runFor(2_000);
    model.storeUp = true;
    model.runFor(4_000);
    assertWrites(true);
  }

  @Test
  void testReturnedFormerPrimaryIsNotUsedUntilRebuilt() {
    model.servers.get("s0").kill();
    model.runFor(2_000);
    model.servers.get("s0").alive = true;
    model.firstActions.clear();
    model.runFor(3_000);
    assertThat(model.firstActions).doesNotContainKey(HomeAction.UseServer.class);
    new FaultPlan(model).rebuild();
    model.runFor(3_000);
    assertThat(model.firstActions).containsKey(HomeAction.UseServer.class);
    assertThat(model.servers.get("s0").upstream).isEqualTo(record().primary());
  }

  @Test
  void testUnresponsiveConnectionsAreReplacedWithoutFailover() {
    for (ModelServer server : model.servers.values()) {
      server.sessions.forEach(s -> s.unresponsive = true);
    }
    model.runFor(2_500);
    assertWrites(true);
    assertThat(record().term()).isEqualTo(1);
  }

  @Test
  void testPausedHomeLosesGroupAndDoesNotRegainItOnResume() {
    instance(0).paused = true;
    model.prefer("i1");
    model.runFor(6_000);
    assertWrites(true);
    instance(0).resume();
    model.runFor(1_000);
    assertWrites(true);
    assertThat(instance(0).machine.isServingWrites()).isFalse();
  }

  @Test
  void testLeavingPrimaryHandsOverToReplica() {
    model.declareLeaving(Set.of("s0"));
    model.runFor(1_500);
    assertWrites(true);
    assertThat(record().primary()).isNotEqualTo("s0");
  }

  @Test
  void testLeavingReplicaIsDroppedAtOnce() {
    model.firstActions.clear();
    model.declareLeaving(Set.of("s1"));
    model.runFor(1);
    assertThat(model.firstActions).containsKey(HomeAction.DropServer.class);
    assertWrites(true);
  }

  @Test
  void testDrainHandsGroupOverAtOnce() {
    instance(0).handle(new HomeEvent.Drain());
    model.runFor(1_000);
    assertThat(instance(0).machine.isServingWrites()).isFalse();
    assertWrites(true);
  }

  @Test
  void testVotersFollowDeclaredServers() {
    model.declareCount(2);
    model.runFor(2_000);
    assertThat(record().voters()).containsExactly("s0", "s1");
    assertWrites(true);
    model.declareCount(3);
    model.runFor(2_000);
    assertThat(record().voters()).containsExactly("s0", "s1", "s2");
    assertWrites(true);
  }
}
