package org.chicorylane.internal.pool;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Random;
import org.chicorylane.internal.passthrough.ModelServer;
import org.chicorylane.internal.topology.Freshness;
import org.junit.jupiter.api.Test;

/** Tests that replicas which fail statements while their status is good are ejected and return. */
final class OutlierDetectorTest {

  private final PoolFixture fixture = new PoolFixture();
  private final Random random = new Random(5);
  private final ModelServer bad = fixture.group.server("server-b");
  private final ModelServer good = fixture.group.server("server-c");
  private int sent;

  private void sendReads(int count) {
    for (int i = 0; i < count; i++) {
      fixture.submit(PoolFixture.read("r" + sent++));
      fixture.advance(5);
    }
  }

  private long failed() {
    return fixture.answers.values().stream().filter(a -> !a.succeeded()).count();
  }

  @Test
  void testReplicaThatFailsAllIsSentOnlyProbes() {
    sendReads(100);
    bad.failsStatement = id -> true;
    sendReads(40);
    final int before = bad.statements;
    sendReads(1_000);
    fixture.advance(1_000);
    assertThat(failed()).isEqualTo(0);
    assertThat(bad.statements - before).isAtMost(5);
  }

  @Test
  void testReplicaThatFailsHalfIsEjected() {
    sendReads(100);
    bad.failsStatement = id -> random.nextBoolean();
    sendReads(100);
    int before = bad.statements;
    sendReads(400);
    assertThat(bad.statements - before).isAtMost(20);
  }

  @Test
  void testReplicaReturnsWhenItSucceedsAgain() {
    sendReads(100);
    bad.failsStatement = id -> true;
    sendReads(60);
    bad.failsStatement = id -> false;
    sendReads(500);
    int before = bad.statements;
    sendReads(200);
    assertThat(bad.statements - before).isAtLeast(60);
  }

  @Test
  void testLastReplicaIsNeverEjected() {
    good.crash();
    fixture.advance(500);
    bad.failsStatement = id -> random.nextInt(10) < 4;
    sendReads(200);
    int before = bad.statements;
    sendReads(200);
    assertThat(bad.statements - before).isAtLeast(60);
  }

  @Test
  void testStatementsThatFailOnAnyServerEjectNone() {
    bad.failsStatement = id -> id.hashCode() % 2 == 0;
    good.failsStatement = bad.failsStatement;
    fixture.group.server("server-a").failsStatement = bad.failsStatement;
    sendReads(300);
    int beforeBad = bad.statements;
    int beforeGood = good.statements;
    sendReads(200);
    assertThat(bad.statements - beforeBad).isAtLeast(50);
    assertThat(good.statements - beforeGood).isAtLeast(50);
  }

  @Test
  void testPrimaryKeepsWorkThatOnlyItCanRun() {
    ModelServer primary = fixture.group.server("server-a");
    primary.failsStatement = id -> id.startsWith("l") && random.nextBoolean();
    for (int i = 0; i < 100; i++) {
      fixture.submit(PoolFixture.work("l" + i, WorkKind.READ, Freshness.LATEST).build());
      fixture.advance(20);
    }
    fixture.advance(1_000);
    assertThat(primary.statements).isAtLeast(100);
  }

  @Test
  void testHungReadsRunElsewhereWithinTarget() {
    sendReads(200);
    bad.hangsStatement = id -> random.nextInt(10) < 3;
    final int first = sent;
    sendReads(200);
    fixture.advance(1_000);
    assertThat(failed()).isEqualTo(0);
    long late = 0;
    for (int i = first; i < sent; i++) {
      late += fixture.tookMillis.get("r" + i) > 250 ? 1 : 0;
    }
    assertWithMessage("answers after the target time, of 200").that(late).isAtMost(2);
  }

  @Test
  void testHungStatementsOfTransactionsAreNotAbandonedEarly() {
    sendReads(200);
    bad.hangsStatement = id -> id.startsWith("t");
    good.hangsStatement = bad.hangsStatement;
    fixture.submit(
        PoolFixture.work("t1", WorkKind.READ, Freshness.BOUNDED_AGE)
            .inTransaction(1, true, true)
            .build());
    fixture.advance(400);
    assertThat(fixture.answers).doesNotContainKey("t1");
  }
}
