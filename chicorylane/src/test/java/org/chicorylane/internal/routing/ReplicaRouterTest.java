package org.chicorylane.internal.routing;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Random;
import org.chicorylane.internal.outcome.NotRunReason;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.position.TermHistory;
import org.chicorylane.internal.routing.RoutingDecision.Primary;
import org.chicorylane.internal.routing.RoutingDecision.Refuse;
import org.chicorylane.internal.routing.RoutingDecision.Serve;
import org.chicorylane.internal.routing.RoutingDecision.WaitUntil;
import org.junit.jupiter.api.Test;

/**
 * Guards against reads on replicas that lack the session's writes or hold data that is too old or
 * not part of the current log: after restarts, failovers and changes of the home, and with writes
 * in doubt. The group has the primary "p" and the replicas "a" and "b".
 */
final class ReplicaRouterTest {
  private static final Instant NOW = Instant.parse("2026-12-03T08:00:00Z");
  private static final Instant STARTED = NOW.minusSeconds(1_000);
  private static final int MAX_REMEMBERED = 3;

  private final ReplicaRouter router =
      new ReplicaRouter(SelectionPolicy.LEAST_EXPECTED_WAIT, new Random(1), MAX_REMEMBERED);

  ReplicaRouterTest() {
    for (String s : List.of("p", "a", "b")) {
      router.setServer(s, 3, ServerAvailability.JOINED);
    }
    router.onTakeover("p", TermHistory.first(1), at(100));
    observe("a", 100);
    observe("b", 100);
  }

  @Test
  void testServesFromReplicasThatCoverFloor() {
    observe("a", 200);

    assertThat(choose("s", at(200), null)).isEqualTo(new Serve(List.of("a")));
    assertThat(served(choose("s", at(100), null))).containsExactly("a", "b");
    assertThat(choose("s", at(201), null)).isEqualTo(new Primary("p"));
  }

  @Test
  void testRefusesUntilHomeHasTakenOver() {
    ReplicaRouter fresh = new ReplicaRouter(SelectionPolicy.TWO_RANDOM_CHOICES, new Random(1));

    assertThat(reason(fresh.choose(read("s", null, null), NOW))).isEqualTo(NotRunReason.NOT_HOME);
  }

  @Test
  void testTakeoverFloorAppliesOnlyToSessions() {
    router.onTakeover("p", TermHistory.first(1), at(500));

    assertThat(choose("s", null, null)).isEqualTo(new Primary("p"));
    assertThat(choose(null, null, null)).isInstanceOf(Serve.class);
  }

  @Test
  void testSessionReadsItsWriteAfterLostAnswer() {
    router.onWriteCommitted("s", at(150));
    observe("a", 150);

    assertThat(choose("s", null, null)).isEqualTo(new Serve(List.of("a")));
    assertThat(served(choose("other", null, null))).hasSize(2);
  }

  @Test
  void testSessionWithWriteInDoubtNeedsPrimaryUntilSettled() {
    router.onWriteInDoubt("s");
    assertThat(choose("s", null, null)).isEqualTo(new Primary("p"));

    router.onWriteSettled("s", at(150));
    observe("b", 150);
    assertThat(choose("s", null, null)).isEqualTo(new Serve(List.of("b")));
  }

  @Test
  void testRemovedWritesStillExcludeReturningReplica() {
    router.setServer("b", 3, ServerAvailability.UNUSABLE);
    router.onWriteCommitted("s", at(150));
    observe("a", 150);
    assertThat(router.rememberedSessions()).isEqualTo(0);

    router.setServer("b", 3, ServerAvailability.JOINED);
    observe("b", 120);
    assertThat(choose("s", null, null)).isEqualTo(new Serve(List.of("a")));
  }

  @Test
  void testSessionLimitRaisesSharedFloorInsteadOfLosingWrites() {
    for (int i = 0; i <= MAX_REMEMBERED; i++) {
      router.onWriteCommitted("s" + i, at(150 + i));
    }

    assertThat(router.rememberedSessions()).isEqualTo(MAX_REMEMBERED);
    observe("a", 151);
    assertThat(choose("s0", null, null)).isEqualTo(new Serve(List.of("a")));
    assertThat(choose("s2", null, null)).isEqualTo(new Primary("p"));
  }

  @Test
  void testAgeIsMeasuredFromNewestSampleAtOrBelowOffset() {
    router.onPrimaryPosition(NOW.minusSeconds(10), at(100));
    router.onPrimaryPosition(NOW.minusSeconds(4), at(180));
    observe("a", 180);
    observe("b", 179);

    assertThat(router.age("a", NOW)).hasValue(Duration.ofSeconds(4));
    assertThat(router.age("b", NOW)).hasValue(Duration.ofSeconds(10));
    assertThat(choose(null, null, Duration.ofSeconds(5))).isEqualTo(new Serve(List.of("a")));
    assertThat(served(choose(null, null, Duration.ofSeconds(11)))).hasSize(2);
    assertThat(choose(null, null, Duration.ZERO)).isEqualTo(new Primary("p"));
  }

  @Test
  void testRestartedReplicaLosesItsPosition() {
    observe("a", 200);
    router.onReplayed("a", STARTED.plusSeconds(5), at(90), NOW);
    observe("a", 300);

    assertThat(choose("s", at(200), null)).isInstanceOf(Primary.class);
    assertThat(choose("s", null, null)).isEqualTo(new Serve(List.of("b")));
    router.onDisconnected("b");
    assertThat(choose("s", null, null)).isInstanceOf(Primary.class);
  }

  @Test
  void testLeavingServersServeNoReads() {
    router.setServer("a", 3, ServerAvailability.LEAVING);
    router.setServer("b", 3, ServerAvailability.LEAVING);
    assertThat(choose(null, null, null)).isEqualTo(new Primary("p"));

    router.setServer("p", 3, ServerAvailability.LEAVING);
    assertThat(reason(choose(null, null, null))).isEqualTo(NotRunReason.TOO_STALE);
  }

  @Test
  void testRefusesFloorsInLostLogOrLaterTerm() {
    router.onPromotion("a", TermHistory.first(1).next(2, 130));

    assertThat(reason(choose("s", at(131), null))).isEqualTo(NotRunReason.SESSION_HISTORY_LOST);
    assertThat(reason(choose("s", new LogPosition(3, 1), null))).isEqualTo(NotRunReason.NOT_HOME);
    assertThat(choose("s", at(130), null)).isEqualTo(new Primary("a"));
  }

  @Test
  void testDivergedReplicaServesNothing() {
    observe("b", 140);
    router.onPromotion("a", TermHistory.first(1).next(2, 130));
    assertThat(choose(null, null, null)).isEqualTo(new Primary("a"));

    router.onReplayed("b", STARTED.plusSeconds(9), new LogPosition(2, 135), NOW);
    assertThat(choose("s", at(130), null)).isEqualTo(new Serve(List.of("b")));
  }

  @Test
  void testSurvivingPartOfFloorStillApplies() {
    router.onWriteCommitted("s", at(125));
    router.onTakeover("p", TermHistory.first(1), at(140));
    router.onPromotion("a", TermHistory.first(1).next(2, 130));
    router.onReplayed("b", STARTED, at(120), NOW);

    assertThat(choose("s", null, null)).isNotInstanceOf(Serve.class);
  }

  @Test
  void testWaitsForReplicaPredictedToCatchUpWithinLimits() {
    router.onReplayed("a", STARTED, at(200), NOW.plusMillis(100));
    Instant now = NOW.plusMillis(100);

    ReadRequest soon = new ReadRequest("s", at(250), null, now, now.plusSeconds(10));
    assertThat(((WaitUntil) router.choose(soon, now)).instant()).isEqualTo(now.plusMillis(50));
    ReadRequest far = new ReadRequest("s", at(900), null, now, now.plusSeconds(10));
    assertThat(router.choose(far, now)).isInstanceOf(Primary.class);
    ReadRequest hasty = new ReadRequest("s", at(250), null, now, now.plusMillis(100));
    assertThat(router.choose(hasty, now)).isInstanceOf(Primary.class);
  }

  @Test
  void testSealedReplicaServesWithoutPrimaryUntilDataIsTooOld() {
    router.onPrimaryPosition(NOW, at(100));
    router.onPrimaryLost();
    router.setServer("a", 3, ServerAvailability.SEALED);
    router.setServer("b", 3, ServerAvailability.UNUSABLE);
    Instant later = NOW.plusSeconds(6);

    ReadRequest browse = read(null, null, Duration.ofSeconds(30));
    assertThat(router.choose(browse, later)).isEqualTo(new Serve(List.of("a")));
    ReadRequest lookup = read(null, null, Duration.ofSeconds(5));
    assertThat(reason(router.choose(lookup, later))).isEqualTo(NotRunReason.TOO_STALE);
    ReadRequest fresh = read(null, null, Duration.ZERO);
    assertThat(reason(router.choose(fresh, later))).isEqualTo(NotRunReason.NO_PRIMARY);
  }

  @Test
  void testThinnedSamplesNeverUnderstateAge() {
    FreshnessSamples few = new FreshnessSamples(16);
    FreshnessSamples all = new FreshnessSamples(10_000);
    Random random = new Random(7);
    long offset = 0;
    for (int i = 0; i < 5_000; i++) {
      offset += random.nextInt(3);
      few.add(NOW.plusMillis(i), offset);
      all.add(NOW.plusMillis(i), offset);
    }
    Instant end = NOW.plusMillis(5_000);
    for (int i = 0; i < 500; i++) {
      long queried = random.nextInt((int) offset);
      few.age(queried, end)
          .ifPresent(age -> assertThat(age).isAtLeast(all.age(queried, end).orElseThrow()));
    }
  }

  private void observe(String server, long offset) {
    router.onReplayed(server, STARTED, at(offset), NOW);
  }

  private RoutingDecision choose(String session, LogPosition floor, Duration maximumAge) {
    return router.choose(read(session, floor, maximumAge), NOW);
  }

  private static ReadRequest read(String session, LogPosition floor, Duration maximumAge) {
    return new ReadRequest(session, floor, maximumAge, NOW, NOW.plusSeconds(10));
  }

  private static LogPosition at(long offset) {
    return new LogPosition(1, offset);
  }

  private static List<String> served(RoutingDecision decision) {
    return ((Serve) decision).servers();
  }

  private static NotRunReason reason(RoutingDecision decision) {
    return ((Refuse) decision).reason();
  }
}
