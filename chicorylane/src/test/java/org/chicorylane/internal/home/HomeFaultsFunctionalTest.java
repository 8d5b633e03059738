package org.chicorylane.internal.home;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.chicorylane.internal.declaration.ServerState;
import org.chicorylane.internal.outcome.NotRunReason;
import org.chicorylane.internal.outcome.Outcome;
import org.chicorylane.internal.relay.GroupRequest;
import org.chicorylane.internal.relay.GroupService;
import org.chicorylane.internal.relay.RequestKind;
import org.chicorylane.internal.statement.Statement;
import org.chicorylane.standin.database.StandInServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against lost, repeated and stale data while servers, connections, the key-value service or
 * homes fail.
 *
 * <p>Such faults come about when a replaced primary still acknowledges writes, when a home moves or
 * two instances act as home while requests run, when a replica lags or was rebuilt, and when a
 * statement leaves its transaction on a connection that other requests use later.
 */
final class HomeFaultsFunctionalTest {
  private static final Duration LONG_DEADLINE = Duration.ofMinutes(5);

  private static final int WRITERS = 4;

  private HomeFixture fixture;

  @AfterEach
  void stop() {
    fixture.close();
  }

  @Test
  void testFrozenPrimaryAcknowledgesNothingAfterItResumes() {
    start(3);
    StandInServer old = fixture.server(1);
    assertOldPrimaryAcknowledgesNothing(old, old::freeze, old::thaw);
  }

  @Test
  void testPrimaryCutOffFromHomesAcknowledgesNothingAfterItsReturn() {
    start(3);
    StandInServer old = fixture.server(1);
    assertOldPrimaryAcknowledgesNothing(
        old, () -> old.isolateCallers("chicorylane"), old::endIsolation);
  }

  @Test
  void testRequestsOnReplacedPrimaryAreAnsweredLongBeforeTheirDeadline() {
    start(3);
    fixture.write(fixture.entry(0), "before", null);
    StandInServer old = fixture.server(1);
    old.isolateCallers("chicorylane");
    GroupRequest patient = fixture.insertRequest("patient", null, "session-1", LONG_DEADLINE);
    CompletableFuture<Outcome> answer = fixture.home(0).submit(patient);
    fixture.await("the request on the replaced primary has its answer", answer::isDone);
    assertThat(answer.join()).isInstanceOf(Outcome.Unknown.class);
    old.endIsolation();
  }

  @Test
  void testUnresponsiveConnectionsEndRequestsWithoutFailover() {
    start(3);
    fixture.write(fixture.entry(0), "before", null);
    Map<String, CompletableFuture<Outcome>> sent = sendWrites("cut");
    fixture.servers().servers().forEach(StandInServer::cut);
    sent.putAll(sendWrites("after-cut"));
    Set<String> acknowledged = awaitAcknowledged(sent);
    Outcome.Completed after = fixture.write(fixture.entry(0), "after", "key-after");
    assertThat(after.position().term()).isEqualTo(1);
    acknowledged.addAll(List.of("before", "after"));
    fixture.assertLoggedOnce(acknowledged);
  }

  @Test
  void testMovingHomeNeitherLosesNorRepeatsWrites() {
    start(3);
    fixture.write(fixture.entry(0), "before", null);
    try (Writers writers = new Writers()) {
      for (int i = 1; i <= 6; i++) {
        fixture.setCandidates(i % 3, (i + 1) % 3, (i + 2) % 3);
        fixture.awaitHome(i % 3);
      }
      fixture.assertLoggedOnce(writers.stop());
    }
    fixture.assertWithinLimits();
  }

  @Test
  void testTwoInstancesThatBothClaimTheHomeNeitherLoseNorRepeatWrites() {
    start(2);
    fixture.write(fixture.entry(0), "before", null);
    try (Writers writers = new Writers()) {
      fixture.setCandidatesOf(0, 0, 1);
      fixture.setCandidatesOf(1, 1, 0);
      int target = writers.acknowledged().size() + 200;
      fixture.await("more writes are acknowledged", () -> writers.acknowledged().size() > target);
      fixture.assertLoggedOnce(writers.stop());
    }
    fixture.assertWithinLimits();
  }

  @Test
  void testSessionSeesItsWriteThroughNextHomeWithoutFloor() {
    start(2);
    fixture.write(fixture.entry(0), "before", null);
    fixture.server(2).replayDelay(Duration.ofSeconds(3));
    fixture.server(3).replayDelay(Duration.ofSeconds(3));
    fixture.home(0).submit(fixture.insertRequest("lost-answer", null, "session-2"));
    fixture.await("the write is committed", () -> fixture.countLogged("lost-answer") == 1);
    fixture.setCandidates(1, 0);
    fixture.await(
        "the home has moved", () -> !HomeFixture.isNotHome(readOnce(fixture.home(1), "before")));
    Outcome.Completed seen =
        fixture.completed(fixture.entry(1), fixture.read("lost-answer", "session-2", null, null));
    assertThat(HomeFixture.countOf(seen)).isEqualTo(1);
  }

  @Test
  void testLaggingReplicaServesOnlyReadsThatAllowItsAge() {
    start(1);
    fixture.write(fixture.entry(0), "before", null);
    fixture.server(2).replayDelay(Duration.ofSeconds(2));
    fixture.server(3).replayDelay(Duration.ofSeconds(2));
    for (int i = 0; i < 20; i++) {
      Outcome.Completed written = fixture.write(fixture.entry(0), "own-" + i, null);
      assertThat(fixture.count(fixture.entry(0), "own-" + i, written.position())).isEqualTo(1);
    }
    GroupRequest old = fixture.read("before", "session-3", null, Duration.ofHours(1));
    fixture.await(
        "a replica serves an old read",
        () -> fixture.completed(fixture.entry(0), old).fromReplica());
  }

  @Test
  void testLeavingPrimaryHandsOverItsRoleAndGetsNoNewRequests() {
    start(2);
    fixture.write(fixture.entry(0), "before", null);
    Set<String> acknowledged;
    try (Writers writers = new Writers()) {
      fixture.declare(Map.of("archive-1", ServerState.LEAVING));
      fixture.await(
          "another server is primary",
          () -> fixture.write(fixture.entry(0), "probe", null).position().term() == 2);
      acknowledged = writers.stop();
    }
    fixture.assertLoggedOnce(acknowledged);
    long before = inserts(fixture.server(1));
    fixture.write(fixture.entry(0), "after", null);
    assertThat(inserts(fixture.server(1))).isEqualTo(before);
  }

  @Test
  void testWritesContinueWhileKeyValueServiceIsDown() {
    start(2);
    fixture.write(fixture.entry(0), "before", null);
    fixture.store().setDown(true);
    Outcome.Completed during = fixture.write(fixture.entry(0), "during", null);
    assertThat(during.position().term()).isEqualTo(1);
  }

  @Test
  void testPrimaryLostWhileKeyValueServiceIsDownIsReplacedLater() {
    start(2);
    fixture.write(fixture.entry(0), "before", null);
    fixture.store().setDown(true);
    fixture.server(1).kill();
    Set<String> acknowledged = awaitAcknowledged(sendWrites("down"));
    assertThat(acknowledged).isEmpty();
    fixture.store().setDown(false);
    Outcome.Completed after = fixture.write(fixture.entry(0), "after", "key-after");
    assertThat(after.position().term()).isEqualTo(2);
    fixture.assertLoggedOnce(List.of("before", "after"));
  }

  @Test
  void testTransactionOfLostHomeIsRolledBack() {
    start(2);
    fixture.write(fixture.entry(0), "before", null);
    String handle = fixture.completed(fixture.home(0), fixture.begin()).transaction();
    fixture.completed(
        fixture.home(0),
        fixture.inTransaction(RequestKind.CONTINUE, handle, HomeFixture.insert("open")));
    fixture.stopHome(0);
    fixture.setCandidates(1, 0);
    Outcome commit =
        fixture.entry(1).submit(fixture.inTransaction(RequestKind.COMMIT, handle)).join();
    assertThat(((Outcome.NotRun) commit).reason()).isEqualTo(NotRunReason.UNKNOWN_TRANSACTION);
    Outcome.Completed after = fixture.write(fixture.entry(1), "after", "key-after");
    assertThat(fixture.count(fixture.entry(1), "open", after.position())).isEqualTo(0);
  }

  @Test
  void testStatementsOfTwoTransactionsDoNotMix() {
    start(1);
    fixture.write(fixture.entry(0), "before", null);
    String kept = fixture.completed(fixture.home(0), fixture.begin()).transaction();
    String dropped = fixture.completed(fixture.home(0), fixture.begin()).transaction();
    for (int i = 0; i < 10; i++) {
      continueWith(kept, "kept-" + i);
      continueWith(dropped, "dropped-" + i);
    }
    fixture.completed(fixture.home(0), fixture.inTransaction(RequestKind.ROLLBACK, dropped));
    fixture.completed(fixture.home(0), fixture.inTransaction(RequestKind.COMMIT, kept));
    for (int i = 0; i < 10; i++) {
      assertThat(fixture.countLogged("kept-" + i)).isEqualTo(1);
      assertThat(fixture.countLogged("dropped-" + i)).isEqualTo(0);
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "COMMIT",
        "/* */ROLLBACK",
        "-- x\nrollback",
        "/* a /* b */ SELECT */ COMMIT",
        "SET ROLE other",
        "RESET ALL",
        "DO $$ BEGIN END $$",
        "LISTEN x",
        "PREPARE TRANSACTION 'x'",
        "SELECT pg_terminate_backend(1)",
        "SELECT pg_terminate_backend/**/(1)",
        "SELECT pg_terminate_backend -- x\n (1)",
        "SELECT '/*', pg_terminate_backend(1), '*/'",
        "SELECT \"pg_terminate_backend\"(1)",
        "SELECT U&\"\\0070g_terminate_backend\"(1)",
        "SELECT E'\\'', pg_advisory_unlock_all /* ' */ ()",
        "SELECT set_config('role', 'x', false)",
        "WITH a AS (SELECT 1) SELECT pg_promote() FROM a"
      })
  void testRefusesStatementThatLeavesItsTransaction(String sql) {
    start(1);
    fixture.write(fixture.entry(0), "before", null);
    GroupRequest request =
        fixture.writeRequest(List.of(HomeFixture.insert("a"), new Statement(sql, List.of())), null);
    Outcome outcome = fixture.submitUntilServed(fixture.entry(0), request);
    assertThat(((Outcome.NotRun) outcome).reason()).isEqualTo(NotRunReason.NOT_ALLOWED);
    assertThat(((Outcome.NotRun) outcome).detail()).contains("$.statements[1].sql");
  }

  @Test
  void testStatementWithManyBlanksIsAnsweredInTime() throws Exception {
    start(1);
    Statement sql = new Statement(" ".repeat(100_000) + "COMMIT", List.of());
    Outcome outcome =
        fixture
            .entry(0)
            .submit(fixture.writeRequest(List.of(sql), null))
            .get(HomeFixture.WAIT_LIMIT.toSeconds(), TimeUnit.SECONDS);
    assertThat(((Outcome.NotRun) outcome).reason()).isEqualTo(NotRunReason.NOT_ALLOWED);
  }

  @Test
  void testRebuiltReplicaServesNoStaleRead() {
    start(1);
    fixture.write(fixture.entry(0), "before", null);
    StandInServer replica = fixture.server(2);
    replica.kill();
    Outcome.Completed written = fixture.write(fixture.entry(0), "missed", "key-missed");
    replica.replayDelay(Duration.ofSeconds(1));
    replica.restart(StandInServer.Data.KEPT);
    assertFresh("missed", written);
    replica.rebuild(fixture.server(1));
    assertFresh("missed", written);
  }

  private void start(int instances) {
    fixture =
        new HomeFixture(instances, HomeFixture.timingsWithFastHandOver(), HomeFixture.WAIT_LIMIT);
  }

  private void assertFresh(String id, Outcome.Completed written) {
    for (int i = 0; i < 200; i++) {
      assertThat(fixture.count(fixture.entry(0), id, written.position())).isEqualTo(1);
    }
  }

  private void assertOldPrimaryAcknowledgesNothing(
      StandInServer old, Runnable fault, Runnable end) {
    fixture.write(fixture.entry(0), "before", null);
    fault.run();
    final Map<String, CompletableFuture<Outcome>> sent = sendWrites("during");
    Outcome.Completed after = fixture.write(fixture.entry(1), "after", "key-after");
    assertThat(after.position().term()).isEqualTo(2);
    end.run();
    Map<String, CompletableFuture<Outcome>> returned = sendWrites("returned");
    awaitAcknowledged(returned);
    returned.values().forEach(f -> assertNotServedBy(old, f.join()));
    sent.putAll(returned);
    Set<String> acknowledged = awaitAcknowledged(sent);
    acknowledged.addAll(List.of("before", "after"));
    fixture.assertLoggedOnce(acknowledged);
  }

  private static void assertNotServedBy(StandInServer server, Outcome outcome) {
    if (outcome instanceof Outcome.Completed completed) {
      assertThat(completed.servedBy()).isNotEqualTo(server.name());
    }
  }

  /** Sends writes without keys, half through the entry and half to the home of instance 0. */
  private Map<String, CompletableFuture<Outcome>> sendWrites(String prefix) {
    Map<String, CompletableFuture<Outcome>> sent = new ConcurrentHashMap<>();
    for (int i = 0; i < 6; i++) {
      String id = prefix + "-" + i;
      GroupService path = i % 2 == 0 ? fixture.entry(0) : fixture.home(0);
      sent.put(id, path.submit(fixture.insertRequest(id, null, "session-1")));
    }
    return sent;
  }

  private static Set<String> awaitAcknowledged(Map<String, CompletableFuture<Outcome>> sent) {
    Set<String> acknowledged = ConcurrentHashMap.newKeySet();
    sent.forEach(
        (id, future) -> {
          Outcome outcome =
              future.orTimeout(HomeFixture.WAIT_LIMIT.toSeconds(), TimeUnit.SECONDS).join();
          if (outcome instanceof Outcome.Completed) {
            acknowledged.add(id);
          }
        });
    return acknowledged;
  }

  private Outcome readOnce(GroupService service, String id) {
    return service.submit(fixture.read(id, "prober", null, null)).join();
  }

  private void continueWith(String handle, String id) {
    fixture.completed(
        fixture.home(0),
        fixture.inTransaction(RequestKind.CONTINUE, handle, HomeFixture.insert(id)));
  }

  private static long inserts(StandInServer server) {
    return server.executions().getOrDefault(HomeFixture.INSERT, 0L);
  }

  /** Threads that write with keys through two entries, each write until it is acknowledged. */
  private final class Writers implements AutoCloseable {
    private final Set<String> acknowledged = ConcurrentHashMap.newKeySet();
    private final List<CompletableFuture<Void>> threads = new ArrayList<>();
    private volatile boolean stopped;

    Writers() {
      for (int w = 0; w < WRITERS; w++) {
        int writer = w;
        CompletableFuture<Void> done = new CompletableFuture<>();
        threads.add(done);
        new Thread(() -> run(writer, done), "writer-" + w).start();
      }
    }

    private void run(int writer, CompletableFuture<Void> done) {
      try {
        for (int i = 0; !stopped; i++) {
          String id = "w" + writer + "-" + i;
          fixture.write(fixture.entry(writer % 2), id, id);
          acknowledged.add(id);
        }
        done.complete(null);
      } catch (Throwable e) {
        done.completeExceptionally(e);
      }
    }

    Set<String> acknowledged() {
      return acknowledged;
    }

    /** Stops the threads and returns the acknowledged writes; fails if a write was not answered. */
    Set<String> stop() {
      stopped = true;
      threads.forEach(
          t -> t.orTimeout(2 * HomeFixture.WAIT_LIMIT.toSeconds(), TimeUnit.SECONDS).join());
      assertWithMessage("acknowledged writes").that(acknowledged).isNotEmpty();
      return acknowledged;
    }

    @Override
    public void close() {
      stopped = true;
    }
  }
}
