package org.chicorylane.internal.pool;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.function.Predicate;
import org.chicorylane.internal.passthrough.Answer;
import org.chicorylane.internal.passthrough.FailureCode;
import org.chicorylane.internal.passthrough.ModelServer;
import org.chicorylane.internal.passthrough.ServerCommand;
import org.chicorylane.internal.topology.Freshness;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against statements that a pool sends after they have ended, and against statements that
 * wait for the preparation of a connection without an end.
 */
final class StatementEndTest {

  private static final Map<String, String> VALUES = Map.of("tone", "first");

  private final PoolFixture fixture = new PoolFixture();
  private final ModelServer primary = fixture.group.server("server-a");
  private final List<String> runs = new ArrayList<>();

  @BeforeEach
  void openConnections() {
    for (int i = 0; i < 3; i++) {
      fixture.submit(PoolFixture.write("first-" + i));
    }
    for (int i = 0; i < 8; i++) {
      fixture.submit(PoolFixture.read("read-" + i));
    }
    fixture.advance(200);
    fixture.group.listener = (server, connection, id, values, state) -> runs.add(id + values);
  }

  private static Work write(String id, int budgetMillis) {
    return PoolFixture.work(id, WorkKind.WRITE, Freshness.OWN_WRITES)
        .values(VALUES)
        .budget(budgetMillis)
        .build();
  }

  /** Returns a condition that holds for the first {@code count} set-up commands. */
  private static Predicate<ServerCommand> setupCommands(int count) {
    AtomicInteger left = new AtomicInteger(count);
    return command -> command instanceof ServerCommand.SetValue && left.getAndDecrement() > 0;
  }

  /** Returns the delay of the answers to commands that prepare a connection. */
  private static Function<ServerCommand, Duration> delayOfSetup(Duration delay) {
    return command -> command.requestId() == null ? delay : Duration.ZERO;
  }

  // Review case 7: a statement waited for the answer to a SET for as long as its connection lived.
  @Test
  void testStatementIsSentOverAnotherConnectionWhenAnswerToSetupIsLost() {
    primary.losesAnswer = setupCommands(1);
    fixture.submit(write("w", 1_000));
    fixture.advance(500);
    assertThat(fixture.failureOf("w")).isNull();
    assertThat(runs).containsExactly("w" + VALUES);
  }

  // Review case 9: each lost answer to a SET took away a place at the server for good.
  @Test
  void testLostAnswersToSetupLeaveRoomForLaterStatements() {
    for (int i = 0; i < 12; i++) {
      primary.losesAnswer = setupCommands(1);
      fixture.submit(write("w" + i, 1_000));
      fixture.advance(500);
    }
    fixture.submit(write("last", 1_000));
    fixture.advance(100);
    assertThat(fixture.failureOf("last")).isNull();
    assertThat(fixture.pool.isIdle()).isTrue();
  }

  @Test
  void testStatementWithinTransactionIsAbortedWhenAnswerToSetupIsLost() {
    fixture.submit(
        PoolFixture.work("w1", WorkKind.WRITE, Freshness.OWN_WRITES)
            .inTransaction(1, true, false)
            .build());
    fixture.advance(60);
    primary.losesAnswer = setupCommands(1);
    fixture.submit(
        PoolFixture.work("w2", WorkKind.WRITE, Freshness.OWN_WRITES)
            .values(VALUES)
            .inTransaction(1, false, false)
            .build());
    fixture.advance(500);
    assertThat(fixture.answers.get("w2").text()).contains("was lost");
    assertThat(fixture.pool.isIdle()).isTrue();
    assertThat(primary.log()).hasSize(3);
  }

  @Test
  void testReadGoesToAnotherReplicaWhenAnswerToSetupIsLost() {
    for (String id : List.of("server-b", "server-c")) {
      fixture.group.server(id).losesAnswer = setupCommands(1);
    }
    fixture.submit(
        PoolFixture.work("r", WorkKind.READ, Freshness.BOUNDED_AGE)
            .values(VALUES)
            .budget(1_000)
            .build());
    fixture.advance(900);
    assertThat(fixture.failureOf("r")).isNull();
    assertThat(runs).containsExactly("r" + VALUES);
  }

  // Guards against a read that goes back to the replica which has just not answered.
  @Test
  void testReadIsNotSentTwiceToReplicaThatLosesAnswersToSetup() {
    fixture.group.server("server-b").losesAnswer = setupCommands(1_000);
    for (int i = 0; i < 30; i++) {
      fixture.submit(
          PoolFixture.work("r" + i, WorkKind.READ, Freshness.BOUNDED_AGE)
              .values(Map.of("tone", "of-" + i))
              .budget(2_000)
              .build());
      fixture.advance(1_000);
      assertThat(fixture.failureOf("r" + i)).isNull();
      assertThat(fixture.tookMillis.get("r" + i)).isLessThan(500);
    }
  }

  // An answer that is late, not lost, must not bring back a statement that goes another way.
  @Test
  void testLateAnswerToSetupChangesNothing() {
    Predicate<ServerCommand> isFirst = setupCommands(1);
    primary.answerDelay = command -> isFirst.test(command) ? Duration.ofSeconds(2) : Duration.ZERO;
    fixture.submit(write("w", 1_000));
    fixture.advance(4_000);
    assertThat(fixture.failureOf("w")).isNull();
    assertThat(fixture.tookMillis.get("w")).isLessThan(500);
    assertThat(runs).containsExactly("w" + VALUES);
  }

  // Review case 7: the preparation ended after the time of the statement, which was sent all the
  // same.
  @Test
  void testStatementWhoseSetupEndsAfterItsTimeIsNotSent() {
    primary.answerDelay = delayOfSetup(Duration.ofMillis(200));
    fixture.submit(write("w", 150));
    fixture.advance(1_000);
    assertThat(fixture.failureOf("w")).isEqualTo(FailureCode.OVERLOADED);
    assertThat(runs).isEmpty();
    assertThat(fixture.pool.isIdle()).isTrue();
    assertThat(fixture.pool.primaryConnectionsInUse()).isEqualTo(0);
  }

  @Test
  void testTransactionWhoseBeginningEndsAfterItsTimeIsNotOpened() {
    primary.answerDelay = delayOfSetup(Duration.ofMillis(200));
    fixture.submit(
        PoolFixture.work("w", WorkKind.WRITE, Freshness.OWN_WRITES)
            .inTransaction(1, true, false)
            .budget(150)
            .build());
    fixture.advance(1_000);
    assertThat(fixture.failureOf("w")).isEqualTo(FailureCode.OVERLOADED);
    assertThat(runs).isEmpty();
    assertThat(fixture.pool.isIdle()).isTrue();
    assertThat(fixture.pool.primaryConnectionsInUse()).isEqualTo(0);
  }

  // Guards against a statement that is taken from the queue after its time, before the periodic
  // check finds it there.
  @Test
  void testRefusedStatementIsNotSentAgainAfterItsTime() {
    primary.refuses =
        command -> command instanceof ServerCommand.Forward f && f.requestId().equals("w");
    primary.answerDelay = command -> Duration.ofMillis(20);
    fixture.advance(95);
    fixture.submit(PoolFixture.work("w", WorkKind.WRITE, Freshness.OWN_WRITES).budget(30).build());
    fixture.advance(30);
    primary.refuses = command -> false;
    fixture.submit(PoolFixture.write("other"));
    fixture.advance(1_000);
    assertThat(fixture.failureOf("other")).isNull();
    assertThat(runs).containsExactly("other{}");
  }

  // Guards against a statement that is sent by an instance whose lease ended during the
  // preparation.
  @Test
  void testStatementIsNotSentWhenTheLeaseEndsDuringItsSetup() {
    primary.answerDelay = delayOfSetup(Duration.ofMillis(100));
    fixture.submit(write("w", 1_000));
    fixture.advance(50);
    fixture.mayServe = false;
    fixture.advance(500);
    assertThat(fixture.failureOf("w")).isEqualTo(FailureCode.OVERLOADED);
    assertThat(fixture.answers.get("w").text()).contains("cannot confirm");
    assertThat(runs).isEmpty();
  }

  // Guards against new work at a primary that is being replaced: it was allowed when it was chosen.
  @Test
  void testStatementIsNotSentToPrimaryThatIsHaltedDuringItsSetup() {
    primary.answerDelay = delayOfSetup(Duration.ofMillis(100));
    fixture.submit(write("w", 1_000));
    fixture.advance(50);
    fixture.pool.setPrimaryHalt(PrimaryHalt.WRITES);
    fixture.advance(300);
    assertThat(runs).isEmpty();
    fixture.pool.setPrimaryHalt(PrimaryHalt.NOTHING);
    fixture.advance(300);
    assertThat(fixture.failureOf("w")).isNull();
  }

  // Guards against a read at a former primary, for which no floor was set.
  @Test
  void testReadIsNotSentToServerThatCeasesToBePrimaryDuringItsSetup() {
    primary.answerDelay = delayOfSetup(Duration.ofMillis(100));
    final int before = primary.statements;
    fixture.submit(
        PoolFixture.work("r", WorkKind.READ, Freshness.LATEST)
            .values(VALUES)
            .budget(1_000)
            .build());
    fixture.advance(50);
    fixture.pool.setPrimary("server-b", 2);
    fixture.advance(900);
    assertThat(fixture.failureOf("r")).isNull();
    assertThat(primary.statements).isEqualTo(before);
  }

  /** Submits work and returns the handler under which it can be dropped. */
  private WorkHandler submit(Work work) {
    WorkHandler handler =
        new WorkHandler() {
          @Override
          public void onAnswer(Answer answer) {
            fixture.answers.put(work.requestId(), answer);
          }

          @Override
          public void onNotHome() {
            fixture.notHome.add(work.requestId());
          }
        };
    fixture.pool.submit(this, work, handler);
    return handler;
  }

  // Guards against a statement that is sent after its client has left, because it was not in the
  // queue at that moment.
  @Test
  void testStatementThatIsDroppedDuringItsSetupIsNotSent() {
    primary.answerDelay = delayOfSetup(Duration.ofMillis(100));
    WorkHandler handler = submit(write("w", 1_000));
    fixture.advance(50);
    fixture.pool.drop(handler);
    fixture.advance(1_000);
    assertThat(runs).isEmpty();
    assertThat(fixture.answers).doesNotContainKey("w");
    assertThat(fixture.pool.isIdle()).isTrue();
    assertThat(fixture.pool.primaryConnectionsInUse()).isEqualTo(0);
  }

  @Test
  void testStatementThatIsDroppedDuringItsSetupIsNotSentAfterLostSetup() {
    primary.losesAnswer = setupCommands(1);
    WorkHandler handler = submit(write("w", 1_000));
    fixture.advance(50);
    fixture.pool.drop(handler);
    fixture.advance(1_000);
    assertThat(runs).isEmpty();
    assertThat(fixture.pool.isIdle()).isTrue();
  }

  @Test
  void testReadThatIsDroppedWhileItRunsIsNotSentAgain() {
    primary.losesAnswer = command -> "r".equals(command.requestId());
    WorkHandler handler =
        submit(PoolFixture.work("r", WorkKind.READ, Freshness.LATEST).budget(2_000).build());
    fixture.advance(50);
    fixture.pool.drop(handler);
    fixture.advance(2_500);
    assertThat(runs).containsExactly("r{}");
    assertThat(fixture.pool.isIdle()).isTrue();
  }

  @Test
  void testRefusedStatementThatIsDroppedIsNotSentAgain() {
    primary.refuses = command -> "w".equals(command.requestId());
    primary.answerDelay = command -> Duration.ofMillis(20);
    WorkHandler handler = submit(PoolFixture.write("w"));
    fixture.advance(10);
    fixture.pool.drop(handler);
    primary.refuses = command -> false;
    fixture.advance(1_000);
    assertThat(runs).isEmpty();
    assertThat(fixture.pool.isIdle()).isTrue();
  }

  // Guards against statements that run for an entry whose link has ended, and which has told its
  // clients that they are in doubt.
  @Test
  void testStatementsOfEndedLinkAreNotSent() {
    primary.work = Duration.ofMillis(200);
    primary.answerDelay = delayOfSetup(Duration.ofMillis(100));
    for (int i = 0; i < 4; i++) {
      submit(PoolFixture.write("running-" + i));
    }
    submit(PoolFixture.work("queued", WorkKind.WRITE, Freshness.OWN_WRITES).budget(5_000).build());
    fixture.advance(150);
    assertThat(fixture.pool.queueSize()).isEqualTo(1);
    fixture.pool.abandonAll(this);
    fixture.advance(3_000);
    assertThat(runs).doesNotContain("queued{}");
    submit(write("prepared", 5_000));
    fixture.advance(50);
    fixture.pool.abandonAll(this);
    fixture.advance(3_000);
    assertThat(runs).doesNotContain("prepared" + VALUES);
    assertThat(fixture.pool.isIdle()).isTrue();
  }

  // Guards against statements without an answer, because their connections were closed with the
  // pool while they were prepared.
  @Test
  void testStatementDuringItsSetupIsReturnedWhenPoolStops() {
    primary.answerDelay = delayOfSetup(Duration.ofMillis(100));
    fixture.submit(write("w", 1_000));
    fixture.advance(50);
    fixture.pool.stop();
    fixture.advance(50);
    assertThat(fixture.notHome).containsExactly("w");
  }

  // Guards against statements that wait in a pool that opens no connections any more.
  @Test
  void testStatementWhoseSetupIsLostIsReturnedWhenPoolRetires() {
    primary.losesAnswer = setupCommands(1);
    fixture.submit(write("w", 1_000));
    fixture.advance(50);
    fixture.pool.retire();
    fixture.advance(500);
    assertThat(fixture.notHome).containsExactly("w");
    assertThat(fixture.pool.isIdle()).isTrue();
  }

  // Guards against an instance that ends while it prepares connections for statements.
  @Test
  void testPoolIsNotIdleWhileItPreparesConnection() {
    primary.answerDelay = delayOfSetup(Duration.ofMillis(100));
    fixture.submit(write("w", 1_000));
    fixture.advance(50);
    assertThat(fixture.pool.isIdle()).isFalse();
    fixture.advance(200);
    assertThat(fixture.failureOf("w")).isNull();
    assertThat(fixture.pool.isIdle()).isTrue();
  }

  // Guards against a connection that is never used again, as its rollback has no answer.
  @Test
  void testConnectionIsClosedWhenAnswerToRollbackIsLost() {
    fixture.submit(
        PoolFixture.work("w", WorkKind.WRITE, Freshness.OWN_WRITES)
            .inTransaction(1, true, false)
            .build());
    fixture.advance(60);
    primary.losesAnswer = command -> command instanceof ServerCommand.Rollback;
    fixture.pool.abandon(fixture, 1);
    fixture.advance(50);
    assertThat(fixture.pool.primaryConnectionsInUse()).isEqualTo(1);
    fixture.advance(500);
    assertThat(fixture.pool.primaryConnectionsInUse()).isEqualTo(0);
  }

  /** Runs a write in a transaction, and submits its commit with a value that was set after it. */
  private void commitAfterSettingValue(int budgetMillis) {
    fixture.submit(
        PoolFixture.work("w", WorkKind.WRITE, Freshness.OWN_WRITES)
            .inTransaction(1, true, false)
            .build());
    fixture.advance(60);
    fixture.submit(
        PoolFixture.work("c", WorkKind.COMMIT, Freshness.OWN_WRITES)
            .values(VALUES)
            .inTransaction(1, false, false)
            .budget(budgetMillis)
            .build());
  }

  // Guards against a commit that takes effect after its client was told that it did not.
  @Test
  void testCommitIsAbortedWhenAnswerToSetupIsLost() {
    primary.losesAnswer = setupCommands(1);
    commitAfterSettingValue(2_000);
    fixture.advance(3_000);
    assertThat(fixture.failureOf("c")).isEqualTo(FailureCode.ABORTED);
    assertThat(primary.log()).hasSize(3);
    assertThat(fixture.pool.isIdle()).isTrue();
  }

  @Test
  void testCommitWhoseSetupEndsAfterItsTimeIsNotSent() {
    primary.answerDelay =
        command ->
            command instanceof ServerCommand.SetValue ? Duration.ofMillis(200) : Duration.ZERO;
    commitAfterSettingValue(150);
    fixture.advance(3_000);
    assertThat(fixture.failureOf("c")).isEqualTo(FailureCode.ABORTED);
    assertThat(primary.log()).hasSize(3);
    assertThat(fixture.pool.isIdle()).isTrue();
  }
}
