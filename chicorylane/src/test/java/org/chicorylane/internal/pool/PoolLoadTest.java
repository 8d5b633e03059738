package org.chicorylane.internal.pool;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.Random;
import org.chicorylane.internal.passthrough.FailureCode;
import org.chicorylane.internal.topology.Freshness;
import org.junit.jupiter.api.Test;

/** Loads that hurt, each named for its pattern, in virtual time with fixed seeds. */
final class PoolLoadTest {

  private static final int TARGET_MILLIS = 250;

  private final PoolFixture f = new PoolFixture();
  private final Random random = new Random(7);
  private int sent;

  /** Sends reads at a steady rate for a time. */
  private void load(int perSecond, int millis) {
    int step = Math.max(1, 1_000 / perSecond);
    for (int t = 0; t < millis; t += step) {
      f.submit(PoolFixture.read("r" + sent++));
      f.advance(step);
    }
  }

  private double shareInTarget() {
    long good =
        f.answers.entrySet().stream()
            .filter(e -> e.getValue().succeeded())
            .filter(e -> f.tookMillis.get(e.getKey()) <= TARGET_MILLIS)
            .count();
    return (double) good / sent;
  }

  @Test
  void testBacklogAfterAnOutageDoesNotMakeEverybodyLate() {
    f.group.server("server-b").work = Duration.ofMillis(20);
    f.group.server("server-c").work = Duration.ofMillis(20);
    f.group.server("server-a").work = Duration.ofMillis(20);
    for (int i = 0; i < 160; i++) {
      f.submit(PoolFixture.read("r" + sent++));
    }
    f.advance(300);
    int before = sent;
    load(250, 1_500);
    f.advance(1_500);
    long inTime =
        f.tookMillis.entrySet().stream()
            .filter(e -> Integer.parseInt(e.getKey().substring(1)) >= before)
            .filter(e -> f.answers.get(e.getKey()).succeeded())
            .filter(e -> e.getValue() <= TARGET_MILLIS)
            .count();
    assertWithMessage("of %s that came after the outage", sent - before)
        .that(inTime)
        .isAtLeast((sent - before) * 95 / 100);
  }

  @Test
  void testBurstBeyondCapacityIsRefusedAtOnceWithATimeToReturn() {
    f.group.server("server-b").work = Duration.ofMillis(60);
    f.group.server("server-c").work = Duration.ofMillis(60);
    f.group.server("server-a").work = Duration.ofMillis(60);
    load(500, 2_000);
    f.advance(2_000);
    long refusedSlowly =
        f.answers.entrySet().stream()
            .filter(e -> e.getValue().failedWith(FailureCode.OVERLOADED))
            .filter(e -> f.tookMillis.get(e.getKey()) > 50)
            .count();
    long refused =
        f.answers.values().stream().filter(a -> a.failedWith(FailureCode.OVERLOADED)).count();
    assertThat(refused).isGreaterThan(200);
    assertWithMessage("refused after more than 50 ms, of %s", refused)
        .that(refusedSlowly)
        .isAtMost(refused / 5);
    assertThat(
            f.answers.values().stream()
                .filter(a -> a.failedWith(FailureCode.OVERLOADED))
                .allMatch(a -> a.text().contains("retry after")))
        .isTrue();
  }

  @Test
  void testUrgentStatementsPassABurstOfOthers() {
    f.group.server("server-a").work = Duration.ofMillis(40);
    for (int i = 0; i < 60; i++) {
      f.submit(PoolFixture.work("n" + i, WorkKind.READ, Freshness.LATEST).priority(2).build());
    }
    for (int i = 0; i < 5; i++) {
      f.submit(PoolFixture.work("u" + i, WorkKind.READ, Freshness.LATEST).priority(1).build());
    }
    f.advance(2_000);
    for (int i = 0; i < 5; i++) {
      assertThat(f.failureOf("u" + i)).isNull();
      assertThat(f.tookMillis.get("u" + i)).isAtMost(200);
    }
  }

  @Test
  void testReplicasFarBehindMoveReadsToThePrimary() {
    f.group.server("server-b").lag = Duration.ofSeconds(3);
    f.group.server("server-c").lag = Duration.ofSeconds(3);
    for (int i = 0; i < 60; i++) {
      f.submit(PoolFixture.write("w" + i));
      f.submit(PoolFixture.read("r" + sent++));
      f.advance(50);
    }
    f.advance(1_000);
    assertThat(shareInTarget()).isAtLeast(0.95);
  }

  @Test
  void testOneSlowReplicaGetsLittleWork() {
    f.group.server("server-b").work = Duration.ofMillis(120);
    load(150, 4_000);
    f.advance(1_000);
    int slow = f.group.server("server-b").statements;
    int fast = f.group.server("server-c").statements;
    assertThat(fast).isGreaterThan(4 * slow);
    assertThat(shareInTarget()).isAtLeast(0.99);
  }

  @Test
  void testOneDeadReplicaCostsNoRequest() {
    load(100, 1_000);
    f.group.server("server-b").crash();
    load(100, 2_000);
    f.advance(1_000);
    assertThat(f.answers.values().stream().filter(a -> !a.succeeded()).count()).isEqualTo(0);
    assertThat(shareInTarget()).isAtLeast(0.98);
  }

  @Test
  void testWritesWaitLittleAmongManyReads() {
    int writes = 0;
    for (int t = 0; t < 3_000; t += 4) {
      f.submit(PoolFixture.read("r" + sent++));
      if (random.nextInt(10) == 0) {
        f.submit(PoolFixture.write("w" + writes++));
      }
      f.advance(4);
    }
    f.advance(1_000);
    for (int i = 0; i < writes; i++) {
      assertThat(f.failureOf("w" + i)).isNull();
      assertThat(f.tookMillis.get("w" + i)).isAtMost(150);
    }
  }

  @Test
  void testConnectionsStayFewUnderSteadyLoad() {
    load(250, 4_000);
    assertThat(f.group.opened).isAtMost(3 * 6);
  }
}
