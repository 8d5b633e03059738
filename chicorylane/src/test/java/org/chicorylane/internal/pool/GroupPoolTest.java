package org.chicorylane.internal.pool;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.chicorylane.internal.passthrough.AccessMode;
import org.chicorylane.internal.passthrough.FailureCode;
import org.chicorylane.internal.passthrough.ModelServer;
import org.chicorylane.internal.passthrough.StatementTemplate;
import org.chicorylane.internal.passthrough.TransactionState;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.topology.Freshness;
import org.junit.jupiter.api.Test;

/**
 * Guards against statements that run on a wrong server, twice, or on a connection with another
 * session's state, and against transactions that outlive their connection or client. The failures
 * come about when answers are lost, servers crash, clients give up or the home changes.
 */
final class GroupPoolTest {

  private final PoolFixture fixture = new PoolFixture();

  @Test
  void testBoundedReadsRunOnReplicas() {
    for (int i = 0; i < 20; i++) {
      fixture.submit(PoolFixture.read("r" + i));
      fixture.advance(30);
    }
    assertThat(fixture.answers.values().stream().allMatch(a -> a.succeeded())).isTrue();
    assertThat(fixture.group.server("server-a").statements).isEqualTo(0);
  }

  @Test
  void testLatestReadsRunOnPrimary() {
    fixture.submit(PoolFixture.work("r", WorkKind.READ, Freshness.LATEST).build());
    fixture.advance(50);
    assertThat(fixture.failureOf("r")).isNull();
    assertThat(fixture.group.server("server-a").statements).isEqualTo(1);
  }

  // Guards against a position above every commit that was acknowledged, which no log need reach.
  @Test
  void testLeastAcknowledgedPositionIsReachedByAcknowledgedCommit() {
    fixture.submit(PoolFixture.read("r"));
    fixture.advance(30);
    assertThat(fixture.pool.leastAcknowledged()).isEqualTo(LogPosition.ZERO);
    for (int i = 0; i < 3; i++) {
      fixture.submit(PoolFixture.write("w" + i));
    }
    fixture.advance(60);
    LogPosition last = fixture.group.server("server-a").received();
    assertThat(fixture.pool.leastAcknowledged()).isGreaterThan(LogPosition.ZERO);
    assertThat(fixture.pool.leastAcknowledged()).isAtMost(last);
    fixture.submit(PoolFixture.write("w3"));
    fixture.advance(60);
    assertThat(fixture.pool.leastAcknowledged()).isEqualTo(fixture.answers.get("w3").position());
  }

  @Test
  void testReadSeesOwnWriteWhenReplicasLag() {
    fixture.group.server("server-b").lag = Duration.ofSeconds(3);
    fixture.group.server("server-c").lag = Duration.ofSeconds(3);
    fixture.submit(PoolFixture.write("w"));
    fixture.advance(40);
    LogPosition position = fixture.answers.get("w").position();
    fixture.submit(
        PoolFixture.work("r", WorkKind.READ, Freshness.OWN_WRITES).floor(position).build());
    fixture.advance(60);
    assertThat(fixture.failureOf("r")).isNull();
    assertThat(fixture.answers.get("r").position()).isAtLeast(position);
  }

  @Test
  void testLostAnswerOfWriteIsInDoubtAndNotRepeated() {
    fixture.submit(PoolFixture.write("warm"));
    fixture.advance(60);
    fixture.group.server("server-a").loseNextAnswer = true;
    fixture.submit(PoolFixture.write("w"));
    fixture.advance(1_200);
    assertThat(fixture.failureOf("w")).isEqualTo(FailureCode.IN_DOUBT);
    long runs =
        fixture.group.server("server-a").log().stream()
            .filter(e -> e.requestId().equals("w"))
            .count();
    assertThat(runs).isEqualTo(1);
  }

  @Test
  void testReadIsRetriedOnAnotherServerAfterLostAnswer() {
    fixture.submit(PoolFixture.read("warm"));
    fixture.advance(60);
    fixture.group.server("server-b").loseNextAnswer = true;
    fixture.group.server("server-c").loseNextAnswer = true;
    fixture.submit(PoolFixture.read("r"));
    fixture.advance(700);
    assertThat(fixture.failureOf("r")).isNull();
  }

  @Test
  void testStatementIsRetriedWhenServerReportsThatNothingRan() {
    fixture.group.server("server-a").refuseNextStatement = true;
    fixture.submit(PoolFixture.write("w"));
    fixture.advance(120);
    assertThat(fixture.failureOf("w")).isNull();
    assertThat(fixture.group.server("server-a").log()).hasSize(1);
  }

  // Guards against answers to one client on a connection that has received a copy of an answer.
  @Test
  void testConnectionThatIsNotReusableIsClosed() {
    Set<Object> connections = new HashSet<>();
    fixture.group.listener = (server, connection, id, values, state) -> connections.add(connection);
    fixture.group.server("server-a").reusable = false;
    for (int i = 0; i < 5; i++) {
      fixture.submit(PoolFixture.write("w" + i));
      fixture.advance(60);
      assertThat(fixture.failureOf("w" + i)).isNull();
    }
    assertThat(connections).hasSize(5);
  }

  // Guards against a connection that is closed, and a retry, for each transaction on a quiet log.
  @Test
  void testTransactionsBeginWhereTheirBeginningCanBeTold() {
    Set<Object> connections = new HashSet<>();
    fixture.group.listener = (server, connection, id, values, state) -> connections.add(connection);
    for (int i = 1; i <= 4; i++) {
      fixture.submit(
          PoolFixture.work("r" + i, WorkKind.READ, Freshness.LATEST)
              .inTransaction(i, true, false)
              .build());
      fixture.advance(60);
      fixture.submit(
          PoolFixture.work("c" + i, WorkKind.COMMIT, Freshness.LATEST)
              .inTransaction(i, false, false)
              .build());
      fixture.advance(60);
      assertThat(fixture.failureOf("r" + i)).isNull();
      assertThat(fixture.failureOf("c" + i)).isNull();
    }
    assertThat(connections).hasSize(4);
  }

  // Guards against needless connections: after a commit each beginning differs from earlier ones.
  @Test
  void testTransactionsShareConnectionWhileLogGrows() {
    Set<Object> connections = new HashSet<>();
    fixture.group.listener = (server, connection, id, values, state) -> connections.add(connection);
    for (int i = 1; i <= 4; i++) {
      fixture.submit(
          PoolFixture.work("w" + i, WorkKind.WRITE, Freshness.OWN_WRITES)
              .inTransaction(i, true, false)
              .build());
      fixture.advance(60);
      fixture.submit(
          PoolFixture.work("c" + i, WorkKind.COMMIT, Freshness.OWN_WRITES)
              .inTransaction(i, false, false)
              .build());
      fixture.advance(60);
      assertThat(fixture.failureOf("c" + i)).isNull();
    }
    assertThat(connections).hasSize(1);
  }

  @Test
  void testTransactionKeepsItsConnection() {
    Map<String, Set<Object>> connections = new HashMap<>();
    fixture.group.listener =
        (server, connection, id, values, state) ->
            connections.computeIfAbsent(id.substring(0, 1), k -> new HashSet<>()).add(connection);
    for (int i = 0; i < 5; i++) {
      for (int t = 1; t <= 3; t++) {
        fixture.submit(
            PoolFixture.work(t + "-" + i, WorkKind.WRITE, Freshness.OWN_WRITES)
                .inTransaction(t, i == 0, false)
                .build());
      }
      fixture.advance(60);
    }
    assertThat(connections.values().stream().allMatch(c -> c.size() == 1)).isTrue();
    Set<Object> all = new HashSet<>();
    connections.values().forEach(all::addAll);
    assertThat(all).hasSize(3);
  }

  @Test
  void testFirstStatementOfTransactionThatMayHaveRunIsNotRetried() {
    fixture.submit(PoolFixture.read("warm"));
    fixture.advance(60);
    fixture.group.server("server-b").loseNextAnswer = true;
    fixture.group.server("server-c").loseNextAnswer = true;
    fixture.submit(
        PoolFixture.work("r", WorkKind.READ, Freshness.BOUNDED_AGE)
            .inTransaction(1, true, true)
            .build());
    fixture.advance(1_500);
    assertThat(fixture.failureOf("r")).isEqualTo(FailureCode.ABORTED);
  }

  @Test
  void testRetiringPoolRemovesTransactionsThatHaveNotBegun() {
    fixture.pool.setPrimaryHalt(PrimaryHalt.EVERYTHING);
    fixture.submit(
        PoolFixture.work("w", WorkKind.WRITE, Freshness.OWN_WRITES)
            .inTransaction(1, true, false)
            .build());
    fixture.pool.retire();
    assertThat(fixture.notHome).containsExactly("w");
    assertThat(fixture.pool.hasTransaction(fixture, 1)).isFalse();
  }

  /** Runs a write, so that the next one is sent at once. */
  private void openConnectionToPrimary() {
    fixture.submit(PoolFixture.write("first"));
    fixture.advance(60);
  }

  // Incident 23: the success of a commit reached the client after the promotion was chosen.
  @Test
  void testCommitConfirmedAfterServerToPromoteWasChosenIsInDoubt() {
    openConnectionToPrimary();
    fixture.submit(PoolFixture.write("w"));
    fixture.pool.setPrimaryHalt(PrimaryHalt.EVERYTHING);
    fixture.advance(60);
    assertThat(fixture.group.server("server-a").log()).hasSize(2);
    assertThat(fixture.failureOf("w")).isEqualTo(FailureCode.IN_DOUBT);
  }

  // Incident 23: a replica confirmed a commit after its log had been read for the choice.
  @Test
  void testCommitConfirmedWhileLogsAreReadIsInDoubt() {
    openConnectionToPrimary();
    fixture.submit(PoolFixture.write("w"));
    fixture.pool.setPrimaryHalt(PrimaryHalt.COMMITS);
    fixture.submit(PoolFixture.work("r", WorkKind.READ, Freshness.LATEST).build());
    fixture.advance(60);
    assertThat(fixture.failureOf("w")).isEqualTo(FailureCode.IN_DOUBT);
    assertThat(fixture.failureOf("r")).isNull();
  }

  // Incident 23: a commit was acknowledged by an instance whose lease had ended meanwhile.
  @Test
  void testCommitConfirmedAfterLeaseEndedIsInDoubt() {
    openConnectionToPrimary();
    fixture.submit(PoolFixture.write("w"));
    fixture.mayServe = false;
    fixture.advance(60);
    assertThat(fixture.group.server("server-a").log()).hasSize(2);
    assertThat(fixture.failureOf("w")).isEqualTo(FailureCode.IN_DOUBT);
  }

  // Incident 23: a commit of the replaced primary was acknowledged after its successor led.
  @Test
  void testCommitConfirmedByReplacedPrimaryIsInDoubt() {
    openConnectionToPrimary();
    fixture.submit(PoolFixture.write("w"));
    fixture.pool.setPrimary("server-b", 2);
    fixture.advance(60);
    assertThat(fixture.group.server("server-a").log()).hasSize(2);
    assertThat(fixture.failureOf("w")).isEqualTo(FailureCode.IN_DOUBT);
  }

  @Test
  void testReadConfirmedAfterServerToPromoteWasChosenSucceeds() {
    openConnectionToPrimary();
    fixture.submit(PoolFixture.work("r", WorkKind.READ, Freshness.LATEST).build());
    fixture.pool.setPrimaryHalt(PrimaryHalt.EVERYTHING);
    fixture.advance(60);
    assertThat(fixture.failureOf("r")).isNull();
  }

  @Test
  void testAbandonedTransactionIsRolledBack() {
    fixture.submit(
        PoolFixture.work("w", WorkKind.WRITE, Freshness.OWN_WRITES)
            .inTransaction(1, true, false)
            .build());
    fixture.advance(60);
    fixture.pool.abandon(fixture, 1);
    fixture.advance(60);
    assertThat(fixture.group.server("server-a").log()).isEmpty();
    fixture.submit(
        PoolFixture.work("c", WorkKind.COMMIT, Freshness.OWN_WRITES)
            .inTransaction(1, false, false)
            .build());
    fixture.advance(60);
    assertThat(fixture.failureOf("c")).isEqualTo(FailureCode.ABORTED);
  }

  @Test
  void testIdleTransactionIsRolledBack() {
    fixture.submit(
        PoolFixture.work("w", WorkKind.WRITE, Freshness.OWN_WRITES)
            .inTransaction(1, true, false)
            .build());
    fixture.advance(3_300);
    fixture.submit(
        PoolFixture.work("c", WorkKind.COMMIT, Freshness.OWN_WRITES)
            .inTransaction(1, false, false)
            .build());
    fixture.advance(60);
    assertThat(fixture.failureOf("c")).isEqualTo(FailureCode.ABORTED);
    assertThat(fixture.group.server("server-a").log()).isEmpty();
  }

  @Test
  void testSessionValuesNeverLeakIntoAnotherSession() {
    List<String> wrong = new ArrayList<>();
    fixture.group.listener =
        (server, connection, id, values, state) -> {
          String owner = id.substring(0, 1);
          Map<String, String> expected = owner.equals("n") ? Map.of() : Map.of("tz", owner);
          if (!values.equals(expected)) {
            wrong.add(id + " ran with " + values);
          }
        };
    for (int i = 0; i < 40; i++) {
      for (String owner : List.of("a", "b", "n")) {
        fixture.submit(
            PoolFixture.work(owner + i, WorkKind.READ, Freshness.BOUNDED_AGE)
                .values(owner.equals("n") ? Map.of() : Map.of("tz", owner))
                .build());
      }
      fixture.advance(i % 3 == 0 ? 5 : 25);
    }
    fixture.advance(500);
    assertThat(wrong).isEmpty();
    assertThat(fixture.answers).hasSize(120);
  }

  @Test
  void testPreparedStatementsOfSameNameDoNotCollide() {
    StatementTemplate reads = new StatementTemplate(AccessMode.READ, "one");
    StatementTemplate writes = new StatementTemplate(AccessMode.WRITE, "two");
    fixture.submit(
        PoolFixture.work("r", WorkKind.EXECUTE, Freshness.OWN_WRITES).template(reads).build());
    fixture.submit(
        PoolFixture.work("w", WorkKind.EXECUTE, Freshness.OWN_WRITES).template(writes).build());
    fixture.advance(100);
    assertThat(fixture.failureOf("r")).isNull();
    assertThat(fixture.failureOf("w")).isNull();
    assertThat(fixture.group.server("server-a").log()).hasSize(1);
  }

  @Test
  void testUnconfirmedHomeRefusesStatementsAtOnce() {
    fixture.mayServe = false;
    fixture.submit(PoolFixture.read("r"));
    fixture.advance(1);
    assertThat(fixture.failureOf("r")).isEqualTo(FailureCode.OVERLOADED);
    assertThat(fixture.answers.get("r").text()).contains("retry after");
  }

  @Test
  void testStoppedPoolRollsBackTransactionsAndReportsNotHome() {
    fixture.submit(
        PoolFixture.work("w", WorkKind.WRITE, Freshness.OWN_WRITES)
            .inTransaction(1, true, false)
            .build());
    fixture.advance(60);
    fixture.pool.stop();
    fixture.submit(PoolFixture.read("r"));
    assertThat(fixture.notHome).containsExactly("r");
    fixture.advance(60);
    assertThat(fixture.group.server("server-a").log()).isEmpty();
  }

  @Test
  void testRetiringPoolLetsOpenTransactionsFinish() {
    fixture.submit(
        PoolFixture.work("w", WorkKind.WRITE, Freshness.OWN_WRITES)
            .inTransaction(1, true, false)
            .build());
    fixture.advance(60);
    fixture.pool.retire();
    fixture.submit(PoolFixture.read("r"));
    fixture.submit(
        PoolFixture.work("c", WorkKind.COMMIT, Freshness.OWN_WRITES)
            .inTransaction(1, false, false)
            .build());
    fixture.advance(60);
    assertThat(fixture.notHome).containsExactly("r");
    assertThat(fixture.failureOf("c")).isNull();
    assertThat(fixture.pool.isIdle()).isTrue();
  }

  private void drainPrimary(Duration left) {
    fixture.drainLeft = left;
    fixture.pool.setServers(
        fixture.group.entries().stream()
            .map(s -> s.withDraining(s.id().equals("server-a")))
            .toList());
  }

  @Test
  void testDrainingPrimaryTakesNewWorkWithinItsLimit() {
    drainPrimary(Duration.ofMillis(1));
    fixture.submit(PoolFixture.work("r", WorkKind.READ, Freshness.LATEST).build());
    fixture.advance(50);
    assertThat(fixture.failureOf("r")).isNull();
  }

  // Guards against statements in the queue that are sent to a draining primary after its limit.
  @Test
  void testDrainingPrimaryTakesNoNewWorkAfterItsLimit() {
    drainPrimary(Duration.ZERO);
    fixture.submit(PoolFixture.work("r", WorkKind.READ, Freshness.LATEST).build());
    fixture.submit(
        PoolFixture.work("t", WorkKind.READ, Freshness.LATEST)
            .inTransaction(7, true, false)
            .build());
    fixture.advance(900);
    assertThat(fixture.failureOf("r")).isEqualTo(FailureCode.OVERLOADED);
    assertThat(fixture.failureOf("t")).isEqualTo(FailureCode.OVERLOADED);
    assertThat(fixture.group.server("server-a").statements).isEqualTo(0);
  }

  // Guards against a statement that is sent after the limit because its connection had to be set
  // up.
  @Test
  void testStatementWhoseSetupEndsAfterTheLimitIsNotSent() {
    drainPrimary(Duration.ofSeconds(1));
    fixture.submit(
        PoolFixture.work("t", WorkKind.READ, Freshness.LATEST)
            .inTransaction(7, true, false)
            .build());
    fixture.drainLeft = Duration.ZERO;
    fixture.advance(900);
    assertThat(fixture.failureOf("t")).isEqualTo(FailureCode.OVERLOADED);
    assertThat(fixture.group.server("server-a").statements).isEqualTo(0);
  }

  @Test
  void testTransactionThatBeganBeforeTheLimitContinues() {
    drainPrimary(Duration.ofSeconds(1));
    fixture.submit(
        PoolFixture.work("t1", WorkKind.READ, Freshness.LATEST)
            .inTransaction(7, true, false)
            .build());
    fixture.advance(50);
    fixture.drainLeft = Duration.ZERO;
    fixture.submit(
        PoolFixture.work("t2", WorkKind.READ, Freshness.LATEST)
            .inTransaction(7, false, false)
            .build());
    fixture.advance(50);
    assertThat(fixture.failureOf("t2")).isNull();
  }

  @Test
  void testDrainingReplicaGetsNoNewWork() {
    fixture.pool.setServers(
        List.of(
            fixture.group.entry("server-a", false),
            fixture.group.entry("server-b", true),
            fixture.group.entry("server-c", false)));
    for (int i = 0; i < 10; i++) {
      fixture.submit(PoolFixture.read("r" + i));
      fixture.advance(30);
    }
    assertThat(fixture.group.server("server-b").statements).isEqualTo(0);
    assertThat(fixture.answers).hasSize(10);
  }

  // Restart of everything: cold homes took all of their servers for lost at once.
  @Test
  void testStallOfTheHomeIsNotTakenForSilenceOfItsServers() {
    fixture.submit(PoolFixture.read("warm"));
    fixture.advance(60);
    fixture.group.server("server-b").unresponsive = true;
    fixture.stalled = true;
    fixture.advance(900);
    fixture.group.server("server-b").unresponsive = false;
    fixture.stalled = false;
    assertThat(fixture.lost).isEmpty();
  }

  @Test
  void testUnresponsiveServerIsReportedLostAndReadsAreRetried() {
    fixture.submit(PoolFixture.read("warm"));
    fixture.advance(60);
    fixture.group.server("server-b").unresponsive = true;
    for (int i = 0; i < 6; i++) {
      fixture.submit(PoolFixture.read("r" + i));
    }
    fixture.advance(760);
    assertThat(fixture.answers).hasSize(7);
    assertThat(fixture.answers.values().stream().allMatch(a -> a.succeeded())).isTrue();
    assertThat(fixture.lost).contains("server-b");
  }

  @Test
  void testFailedTransactionStaysFailedUntilAbandoned() {
    fixture.submit(
        PoolFixture.work("r", WorkKind.READ, Freshness.OWN_WRITES)
            .inTransaction(1, true, true)
            .build());
    fixture.advance(60);
    fixture.submit(
        PoolFixture.work("w", WorkKind.WRITE, Freshness.OWN_WRITES)
            .inTransaction(1, false, true)
            .build());
    fixture.advance(60);
    assertThat(fixture.failureOf("w")).isEqualTo(FailureCode.NOT_PRIMARY);
    assertThat(fixture.answers.get("w").state()).isEqualTo(TransactionState.FAILED);
  }

  @Test
  void testRestartedServerIsReconnected() {
    ModelServer b = fixture.group.server("server-b");
    fixture.submit(PoolFixture.read("warm"));
    fixture.advance(60);
    b.crash();
    fixture.advance(300);
    b.restart();
    fixture.advance(600);
    assertThat(fixture.pool.canReach("server-b")).isTrue();
  }
}
