package org.chicorylane.internal.election;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.chicorylane.internal.passthrough.ServerStatus;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.topology.BackendServer;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

/**
 * Tests the choice of the server to promote. Promoting a replica whose log lacks an acknowledged
 * commit would lose that commit; this can happen if a replica that holds it has not reported.
 */
final class PromotionChoiceTest {

  private static final long START_NANOS = 1_000;

  private final LogReports reports = new LogReports();
  private final Set<String> missing = new HashSet<>();
  private LogPosition leastAcknowledged = LogPosition.ZERO;
  private @Nullable List<BackendServer> servers;
  private String primaryId = "a";
  private long term = 1;
  private boolean draining;
  private PromotionOrders.@Nullable State order;

  PromotionChoiceTest() {
    reports.start(1, START_NANOS);
  }

  /** Begins an attempt to replace server-c, which replaced server-a in term 2. */
  private void replaceSecondPrimary() {
    primaryId = "c";
    term = 2;
    reports.start(2, START_NANOS);
  }

  private void setReplicaStatus(String id, long term, long offset) {
    report(id, new ServerStatus(false, term, new LogPosition(term, offset), 3, 0));
  }

  private void setPrimaryStatus(String id, long term, long offset) {
    report(id, new ServerStatus(true, term, new LogPosition(term, offset), 0, 0));
  }

  private void report(String id, ServerStatus status) {
    reports.add(id, status, START_NANOS);
  }

  private BackendServer server(String id) {
    return new BackendServer(
        id, "plans", "10.0.0.1:1", "z", 3, draining && id.equals("b"), false, 1);
  }

  private PromotionChoice choose(@Nullable LogPosition bound) {
    return choose(bound, LogPosition.ZERO);
  }

  private PromotionChoice choose(@Nullable LogPosition bound, LogPosition acknowledged) {
    return PromotionChoice.choose(
        new PromotionChoice.Basis(
            servers == null ? List.of(server("a"), server("b"), server("c")) : servers,
            missing,
            reports,
            primaryId,
            term,
            bound,
            acknowledged,
            leastAcknowledged,
            order));
  }

  private static String promotedId(PromotionChoice choice) {
    return ((PromotionChoice.Promote) choice).server().id();
  }

  @Test
  void testReplicaWithLongestLogIsPromotedWhenAllReported() {
    setReplicaStatus("b", 1, 100);
    setReplicaStatus("c", 1, 120);
    assertThat(promotedId(choose(null))).isEqualTo("c");
  }

  @Test
  void testLogOfLaterTermCountsAsLonger() {
    setReplicaStatus("b", 2, 5);
    setReplicaStatus("c", 1, 120);
    assertThat(promotedId(choose(null))).isEqualTo("b");
  }

  // Guards against promoting a draining server for commits that were never acknowledged.
  @Test
  void testReplicaThatCoversTheBoundIsPromotedBeforeDrainingOneWithLongerLog() {
    draining = true;
    setReplicaStatus("b", 1, 120);
    setReplicaStatus("c", 1, 110);
    assertThat(promotedId(choose(new LogPosition(1, 110)))).isEqualTo("c");
  }

  @Test
  void testDrainingReplicaIsPromotedIfOnlyItCoversTheBound() {
    draining = true;
    setReplicaStatus("b", 1, 120);
    setReplicaStatus("c", 1, 110);
    assertThat(promotedId(choose(new LogPosition(1, 111)))).isEqualTo("b");
  }

  @Test
  void testDrainingReplicaWithLongestLogIsPromotedWhileBoundIsUnknown() {
    draining = true;
    setReplicaStatus("b", 1, 120);
    setReplicaStatus("c", 1, 110);
    assertThat(promotedId(choose(null))).isEqualTo("b");
  }

  @Test
  void testNonDrainingReplicaIsPromotedAmongEqualLogs() {
    draining = true;
    setReplicaStatus("b", 1, 100);
    setReplicaStatus("c", 1, 100);
    assertThat(promotedId(choose(null))).isEqualTo("c");
  }

  @Test
  void testSingleReplicaIsPromotedIfItHoldsAllAcknowledgedCommits() {
    setReplicaStatus("c", 1, 120);
    assertThat(promotedId(choose(new LogPosition(1, 120)))).isEqualTo("c");
  }

  @Test
  void testSingleReplicaThatLacksAcknowledgedCommitsIsNotPromoted() {
    setReplicaStatus("c", 1, 119);
    assertThat(choose(new LogPosition(1, 120))).isInstanceOf(PromotionChoice.Wait.class);
  }

  @Test
  void testSingleReplicaIsNotPromotedIfAcknowledgedPositionIsUnknown() {
    setReplicaStatus("c", 1, 120);
    assertThat(choose(null)).isInstanceOf(PromotionChoice.Wait.class);
  }

  @Test
  void testPrimaryLogEndDoesNotReplaceHigherAcknowledgedPosition() {
    setReplicaStatus("c", 1, 110);
    setPrimaryStatus("a", 1, 100);
    assertThat(choose(null, new LogPosition(1, 120))).isInstanceOf(PromotionChoice.Wait.class);
  }

  @Test
  void testServerThatLeadsLaterTermIsAdopted() {
    setReplicaStatus("c", 1, 120);
    setPrimaryStatus("b", 2, 1);
    assertThat(choose(null)).isEqualTo(new PromotionChoice.Leads("b", 2));
  }

  @Test
  void testServerThatReplacedPrimaryInSameTermIsNotPromoted() {
    setPrimaryStatus("b", 1, 130);
    setReplicaStatus("c", 1, 120);
    assertThat(promotedId(choose(new LogPosition(1, 120)))).isEqualTo("c");
  }

  @Test
  void testWaitsIfNoReplicaReported() {
    assertThat(choose(LogPosition.ZERO)).isInstanceOf(PromotionChoice.Wait.class);
  }

  // Incident 23: a replica whose entry had lapsed held a commit; the others counted as all.
  @Test
  void testServerWithoutEntryCountsAsSilent() {
    missing.add("d");
    setReplicaStatus("b", 1, 100);
    setReplicaStatus("c", 1, 120);
    assertThat(choose(null)).isInstanceOf(PromotionChoice.Wait.class);
  }

  @Test
  void testServerWithoutEntryIsNotNeededIfBoundIsCovered() {
    missing.add("d");
    setReplicaStatus("c", 1, 120);
    assertThat(promotedId(choose(new LogPosition(1, 120)))).isEqualTo("c");
  }

  // Incident 23: a position from before the replica was sealed counted as the end of its log.
  @Test
  void testReplicaThatIsNotSealedCountsAsSilent() {
    setReplicaStatus("b", 1, 100);
    report("c", new ServerStatus(false, 1, new LogPosition(1, 120), 0, 0));
    assertThat(choose(null)).isInstanceOf(PromotionChoice.Wait.class);
  }

  // Incident 23: an answer to a question of an earlier attempt counted.
  @Test
  void testAnswerToQuestionFromBeforeAttemptCountsAsSilent() {
    setReplicaStatus("b", 1, 100);
    reports.add("c", new ServerStatus(false, 1, new LogPosition(1, 120), 2, 0), START_NANOS - 1);
    assertThat(choose(null)).isInstanceOf(PromotionChoice.Wait.class);
  }

  @Test
  void testReplicaThatCoversPrimaryLogIsPromoted() {
    setPrimaryStatus("a", 1, 120);
    setReplicaStatus("c", 1, 120);
    assertThat(promotedId(choose(null))).isEqualTo("c");
  }

  // Incident 23: the primary's log does not hold the commits of a later term.
  @Test
  void testPrimaryLogDoesNotCountIfLaterTermWasSeen() {
    setPrimaryStatus("a", 1, 100);
    setReplicaStatus("c", 2, 110);
    assertThat(choose(null)).isInstanceOf(PromotionChoice.Wait.class);
  }

  // Incident 23: two promotions were under way, and the later one rolled back the earlier term.
  @Test
  void testOtherServerIsNotPromotedWhileOrderMayTakeEffect() {
    order = new PromotionOrders.State("b", false, false, false, false);
    setReplicaStatus("c", 1, 120);
    assertThat(choose(new LogPosition(1, 120))).isInstanceOf(PromotionChoice.Wait.class);
  }

  // Incident 23: a server was used as the primary while the promotion of another one was pending.
  @Test
  void testOtherServerThatLeadsIsNotAdoptedWhileOrderMayTakeEffect() {
    order = new PromotionOrders.State("b", false, false, false, false);
    setPrimaryStatus("c", 2, 120);
    assertThat(choose(null)).isInstanceOf(PromotionChoice.Wait.class);
  }

  // Incident 23: a server was used again although the expired order of another took effect unseen.
  @Test
  void testServerThatLeadsIsPromotedAgainAfterOrderOfAnotherExpiredUnseen() {
    order = new PromotionOrders.State("b", true, false, true, false);
    setPrimaryStatus("c", 2, 120);
    assertThat(promotedId(choose(null))).isEqualTo("c");
  }

  @Test
  void testServerThatLeadsIsAdoptedAfterOrderOfAnotherFailed() {
    order = new PromotionOrders.State("b", true, true, false, false);
    setPrimaryStatus("c", 2, 120);
    assertThat(choose(null)).isEqualTo(new PromotionChoice.Leads("c", 2));
  }

  @Test
  void testOrderOfSilentServerIsRepeatedWhenDue() {
    order = new PromotionOrders.State("b", false, false, false, true);
    setReplicaStatus("c", 1, 120);
    assertThat(choose(null)).isEqualTo(new PromotionChoice.Repeat("b"));
  }

  @Test
  void testOrderedServerIsChosenAgain() {
    order = new PromotionOrders.State("b", false, false, false, false);
    setReplicaStatus("b", 1, 100);
    setReplicaStatus("c", 1, 120);
    assertThat(promotedId(choose(null))).isEqualTo("b");
  }

  @Test
  void testOtherServerIsPromotedAfterOwnOrderExpired() {
    order = new PromotionOrders.State("b", true, false, false, false);
    setReplicaStatus("c", 1, 120);
    assertThat(promotedId(choose(new LogPosition(1, 120)))).isEqualTo("c");
  }

  // Incident 23: an earlier home had used the ordered server, and its term's commit was elsewhere.
  @Test
  void testAfterInheritedOrderExpiredAllOtherServersMustReport() {
    order = new PromotionOrders.State("b", true, false, true, false);
    setReplicaStatus("c", 1, 120);
    assertThat(choose(new LogPosition(1, 120))).isInstanceOf(PromotionChoice.Wait.class);
    setReplicaStatus("a", 2, 130);
    assertThat(promotedId(choose(null))).isEqualTo("a");
  }

  // Guards against choosing a replica that is behind because the old primary, which still says that
  // it leads and cannot be chosen, counts among the logs that reported.
  @Test
  void testPrimaryThatWasReplacedCountsAsSilent() {
    replaceSecondPrimary();
    setPrimaryStatus("a", 1, 120);
    setReplicaStatus("b", 1, 60);
    assertThat(choose(null)).isInstanceOf(PromotionChoice.Wait.class);
  }

  // Guards against waiting for a crashed server although the recorded primary, which that server
  // had replaced unseen, holds all: another server's term tells.
  @Test
  void testRecordedPrimaryThatWasReplacedUnseenIsChosenOnceItIsSealed() {
    reports.start(2, START_NANOS);
    setPrimaryStatus("a", 1, 120);
    report("b", new ServerStatus(false, 2, new LogPosition(1, 60), 3, 0));
    assertThat(choose(new LogPosition(1, 120))).isInstanceOf(PromotionChoice.Wait.class);
    setReplicaStatus("a", 1, 120);
    assertThat(promotedId(choose(new LogPosition(1, 120)))).isEqualTo("a");
  }

  @Test
  void testPrimaryThatWasReplacedIsChosenOnceItIsSealed() {
    replaceSecondPrimary();
    setPrimaryStatus("a", 1, 120);
    setReplicaStatus("a", 1, 120);
    setReplicaStatus("b", 1, 60);
    assertThat(promotedId(choose(null))).isEqualTo("a");
  }

  @Test
  void testReplicaThatCoversTheBoundIsChosenBesidePrimaryThatWasReplaced() {
    replaceSecondPrimary();
    setPrimaryStatus("a", 1, 120);
    setReplicaStatus("b", 1, 60);
    assertThat(promotedId(choose(new LogPosition(1, 60)))).isEqualTo("b");
  }

  // Guards against a home that knows of a later commit than any of the logs holds.
  @Test
  void testReplicaThatLacksCommitAcknowledgedHereIsNotPromotedThoughAllReported() {
    leastAcknowledged = new LogPosition(1, 100);
    setReplicaStatus("b", 1, 0);
    setReplicaStatus("c", 1, 60);
    assertThat(choose(null)).isInstanceOf(PromotionChoice.Wait.class);
  }

  // Guards against waiting for ever for a commit that no server holds any more.
  @Test
  void testLongestLogIsPromotedOnceThePrimaryHasReportedAsWell() {
    leastAcknowledged = new LogPosition(1, 100);
    setReplicaStatus("a", 1, 0);
    setReplicaStatus("b", 1, 0);
    setReplicaStatus("c", 1, 60);
    assertThat(promotedId(choose(null))).isEqualTo("c");
  }

  @Test
  void testLongestLogIsPromotedOnceThePrimaryHasLeft() {
    leastAcknowledged = new LogPosition(1, 100);
    servers = List.of(server("b"), server("c"));
    setReplicaStatus("b", 1, 0);
    setReplicaStatus("c", 1, 60);
    missing.add("a");
    assertThat(choose(null)).isInstanceOf(PromotionChoice.Wait.class);
    missing.clear();
    assertThat(promotedId(choose(null))).isEqualTo("c");
  }

  // Guards against waiting for a silent server though the primary, a replica now, holds all.
  @Test
  void testPrimaryThatIsReplicaNowIsChosenIfItHasTheLongestLog() {
    setReplicaStatus("a", 1, 120);
    setReplicaStatus("b", 1, 60);
    assertThat(promotedId(choose(new LogPosition(1, 120)))).isEqualTo("a");
  }

  @Test
  void testAnotherReplicaIsChosenBeforeThePrimaryAmongEqualLogs() {
    setReplicaStatus("a", 1, 120);
    setReplicaStatus("b", 1, 120);
    assertThat(promotedId(choose(new LogPosition(1, 120)))).isEqualTo("b");
  }

  // Guards against a promotion that rolls back the log of a primary which an earlier home replaced.
  @Test
  void testAfterInheritedOrderExpiredReplicaBehindThePrimaryIsNotPromoted() {
    order = new PromotionOrders.State("b", true, false, true, false);
    setPrimaryStatus("a", 1, 120);
    setReplicaStatus("c", 1, 110);
    assertThat(choose(null)).isEqualTo(new PromotionChoice.CatchUp("a"));
    setReplicaStatus("c", 1, 120);
    assertThat(promotedId(choose(null))).isEqualTo("c");
  }

  @Test
  void testReplicasCatchUpIfNoneHoldsTheLogOfServerThatLeads() {
    setPrimaryStatus("a", 1, 120);
    setReplicaStatus("c", 1, 110);
    assertThat(choose(null)).isEqualTo(new PromotionChoice.CatchUp("a"));
  }

  // Guards against repeating the promotion of a server that has started again without its log.
  @Test
  void testOrderedServerThatLostItsLogIsNotChosenAgain() {
    leastAcknowledged = new LogPosition(1, 100);
    order = new PromotionOrders.State("b", false, false, false, false);
    setReplicaStatus("b", 1, 0);
    setReplicaStatus("c", 1, 120);
    assertThat(choose(null)).isInstanceOf(PromotionChoice.Wait.class);
  }

  // Guards against losing a commit that this home acknowledged, and against waiting for it for
  // ever.
  @Test
  void testAfterInheritedOrderExpiredAcknowledgedCommitIsAwaitedUntilTheOrderedServerHasLeft() {
    leastAcknowledged = new LogPosition(1, 100);
    order = new PromotionOrders.State("b", true, false, true, false);
    setReplicaStatus("a", 1, 0);
    setReplicaStatus("c", 1, 60);
    assertThat(choose(null)).isInstanceOf(PromotionChoice.Wait.class);
    servers = List.of(server("a"), server("c"));
    missing.add("b");
    assertThat(choose(null)).isInstanceOf(PromotionChoice.Wait.class);
    missing.clear();
    assertThat(promotedId(choose(null))).isEqualTo("c");
  }
}
