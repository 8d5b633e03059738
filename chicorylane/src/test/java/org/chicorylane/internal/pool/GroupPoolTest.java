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
import org.chicorylane.internal.passthrough.PreparedShape;
import org.chicorylane.internal.passthrough.TransactionState;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.topology.Freshness;
import org.junit.jupiter.api.Test;

final class GroupPoolTest {

  private final PoolFixture f = new PoolFixture();

  @Test
  void testBoundedReadsRunOnReplicas() {
    for (int i = 0; i < 20; i++) {
      f.submit(PoolFixture.read("r" + i));
      f.advance(30);
    }
    assertThat(f.answers.values().stream().allMatch(a -> a.succeeded())).isTrue();
    assertThat(f.group.server("server-a").statements).isEqualTo(0);
  }

  @Test
  void testPrimaryRouteReadsRunOnPrimary() {
    f.submit(PoolFixture.work("r", WorkKind.READ, Freshness.LATEST).build());
    f.advance(50);
    assertThat(f.failureOf("r")).isNull();
    assertThat(f.group.server("server-a").statements).isEqualTo(1);
  }

  @Test
  void testReadSeesOwnWriteAlthoughReplicasAreFarBehind() {
    f.group.server("server-b").lag = Duration.ofSeconds(3);
    f.group.server("server-c").lag = Duration.ofSeconds(3);
    f.submit(PoolFixture.write("w"));
    f.advance(40);
    LogPosition position = f.answers.get("w").position();
    f.submit(PoolFixture.work("r", WorkKind.READ, Freshness.OWN_WRITES).floor(position).build());
    f.advance(60);
    assertThat(f.failureOf("r")).isNull();
    assertThat(f.answers.get("r").position()).isAtLeast(position);
  }

  @Test
  void testLostAnswerOfWriteIsInDoubtAndNotRepeated() {
    f.submit(PoolFixture.write("warm"));
    f.advance(60);
    f.group.server("server-a").loseNextAnswer = true;
    f.submit(PoolFixture.write("w"));
    f.advance(1_200);
    assertThat(f.failureOf("w")).isEqualTo(FailureCode.IN_DOUBT);
    long runs =
        f.group.server("server-a").log().stream().filter(e -> e.requestId().equals("w")).count();
    assertThat(runs).isEqualTo(1);
  }

  @Test
  void testLostAnswerOfReadIsAskedAgainElsewhere() {
    f.submit(PoolFixture.read("warm"));
    f.advance(60);
    f.group.server("server-b").loseNextAnswer = true;
    f.group.server("server-c").loseNextAnswer = true;
    f.submit(PoolFixture.read("r"));
    f.advance(700);
    assertThat(f.failureOf("r")).isNull();
  }

  @Test
  void testRefusalByServerIsRepeatedBecauseNothingRan() {
    f.group.server("server-a").refuseNext = true;
    f.submit(PoolFixture.write("w"));
    f.advance(120);
    assertThat(f.failureOf("w")).isNull();
    assertThat(f.group.server("server-a").log()).hasSize(1);
  }

  @Test
  void testTransactionKeepsItsConnection() {
    Map<String, Set<Object>> connections = new HashMap<>();
    f.group.listener =
        (server, connection, id, values, state) ->
            connections.computeIfAbsent(id.substring(0, 1), k -> new HashSet<>()).add(connection);
    for (int i = 0; i < 5; i++) {
      for (int t = 1; t <= 3; t++) {
        f.submit(
            PoolFixture.work(t + "-" + i, WorkKind.WRITE, Freshness.OWN_WRITES)
                .in(t, i == 0, false)
                .build());
      }
      f.advance(60);
    }
    assertThat(connections.values().stream().allMatch(c -> c.size() == 1)).isTrue();
    Set<Object> all = new HashSet<>();
    connections.values().forEach(all::addAll);
    assertThat(all).hasSize(3);
  }

  @Test
  void testAbandonedTransactionIsRolledBack() {
    f.submit(
        PoolFixture.work("w", WorkKind.WRITE, Freshness.OWN_WRITES).in(1, true, false).build());
    f.advance(60);
    f.pool.abandon(f, 1);
    f.advance(60);
    assertThat(f.group.server("server-a").log()).isEmpty();
    f.submit(
        PoolFixture.work("c", WorkKind.COMMIT, Freshness.OWN_WRITES).in(1, false, false).build());
    f.advance(60);
    assertThat(f.failureOf("c")).isEqualTo(FailureCode.ABORTED);
  }

  @Test
  void testIdleTransactionIsRolledBack() {
    f.submit(
        PoolFixture.work("w", WorkKind.WRITE, Freshness.OWN_WRITES).in(1, true, false).build());
    f.advance(3_300);
    f.submit(
        PoolFixture.work("c", WorkKind.COMMIT, Freshness.OWN_WRITES).in(1, false, false).build());
    f.advance(60);
    assertThat(f.failureOf("c")).isEqualTo(FailureCode.ABORTED);
    assertThat(f.group.server("server-a").log()).isEmpty();
  }

  @Test
  void testSessionValuesNeverLeakIntoAnotherSession() {
    List<String> wrong = new ArrayList<>();
    f.group.listener =
        (server, connection, id, values, state) -> {
          String owner = id.substring(0, 1);
          Map<String, String> expected = owner.equals("n") ? Map.of() : Map.of("tz", owner);
          if (!values.equals(expected)) {
            wrong.add(id + " ran with " + values);
          }
        };
    for (int i = 0; i < 40; i++) {
      for (String owner : List.of("a", "b", "n")) {
        f.submit(
            PoolFixture.work(owner + i, WorkKind.READ, Freshness.BOUNDED_AGE)
                .values(owner.equals("n") ? Map.of() : Map.of("tz", owner))
                .build());
      }
      f.advance(i % 3 == 0 ? 5 : 25);
    }
    f.advance(500);
    assertThat(wrong).isEmpty();
    assertThat(f.answers).hasSize(120);
  }

  @Test
  void testPreparedStatementsOfSameNameDoNotCollide() {
    PreparedShape reads = new PreparedShape(AccessMode.READ, "one");
    PreparedShape writes = new PreparedShape(AccessMode.WRITE, "two");
    f.submit(PoolFixture.work("r", WorkKind.EXECUTE, Freshness.OWN_WRITES).shape(reads).build());
    f.submit(PoolFixture.work("w", WorkKind.EXECUTE, Freshness.OWN_WRITES).shape(writes).build());
    f.advance(100);
    assertThat(f.failureOf("r")).isNull();
    assertThat(f.failureOf("w")).isNull();
    assertThat(f.group.server("server-a").log()).hasSize(1);
  }

  @Test
  void testUnconfirmedHomeRefusesAtOnce() {
    f.mayWork = false;
    f.submit(PoolFixture.read("r"));
    f.advance(1);
    assertThat(f.failureOf("r")).isEqualTo(FailureCode.OVERLOADED);
    assertThat(f.answers.get("r").text()).contains("retry after");
  }

  @Test
  void testStoppedPoolAbortsTransactionsAndSaysThatItIsNoHome() {
    f.submit(
        PoolFixture.work("w", WorkKind.WRITE, Freshness.OWN_WRITES).in(1, true, false).build());
    f.advance(60);
    f.pool.stop();
    f.submit(PoolFixture.read("r"));
    assertThat(f.notHome).containsExactly("r");
    f.advance(60);
    assertThat(f.group.server("server-a").log()).isEmpty();
  }

  @Test
  void testRetiringPoolLetsTransactionsEnd() {
    f.submit(
        PoolFixture.work("w", WorkKind.WRITE, Freshness.OWN_WRITES).in(1, true, false).build());
    f.advance(60);
    f.pool.retire();
    f.submit(PoolFixture.read("r"));
    f.submit(
        PoolFixture.work("c", WorkKind.COMMIT, Freshness.OWN_WRITES).in(1, false, false).build());
    f.advance(60);
    assertThat(f.notHome).containsExactly("r");
    assertThat(f.failureOf("c")).isNull();
    assertThat(f.pool.isIdle()).isTrue();
  }

  @Test
  void testDrainingReplicaGetsNoNewWork() {
    f.pool.setServers(
        List.of(
            f.group.entry("server-a", false),
            f.group.entry("server-b", true),
            f.group.entry("server-c", false)));
    for (int i = 0; i < 10; i++) {
      f.submit(PoolFixture.read("r" + i));
      f.advance(30);
    }
    assertThat(f.group.server("server-b").statements).isEqualTo(0);
    assertThat(f.answers).hasSize(10);
  }

  @Test
  void testSilentServerIsFoundAndReadsGoElsewhere() {
    f.submit(PoolFixture.read("warm"));
    f.advance(60);
    f.group.server("server-b").silent = true;
    for (int i = 0; i < 6; i++) {
      f.submit(PoolFixture.read("r" + i));
    }
    f.advance(760);
    assertThat(f.answers).hasSize(7);
    assertThat(f.answers.values().stream().allMatch(a -> a.succeeded())).isTrue();
    assertThat(f.lost).contains("server-b");
  }

  @Test
  void testFailedTransactionStaysFailedUntilAbandoned() {
    f.submit(PoolFixture.work("r", WorkKind.READ, Freshness.OWN_WRITES).in(1, true, true).build());
    f.advance(60);
    f.submit(
        PoolFixture.work("w", WorkKind.WRITE, Freshness.OWN_WRITES).in(1, false, true).build());
    f.advance(60);
    assertThat(f.failureOf("w")).isEqualTo(FailureCode.NOT_PRIMARY);
    assertThat(f.answers.get("w").state()).isEqualTo(TransactionState.FAILED);
  }

  @Test
  void testServerRestartedUnderItsIdIsAskedAnew() {
    ModelServer b = f.group.server("server-b");
    f.submit(PoolFixture.read("warm"));
    f.advance(60);
    b.crash();
    f.advance(300);
    b.restart();
    f.advance(600);
    assertThat(f.pool.reaches("server-b")).isTrue();
  }
}
