package org.chicorylane.internal.pool;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.Random;
import org.chicorylane.internal.passthrough.FailureCode;
import org.chicorylane.internal.topology.Freshness;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against late answers, slow refusals and unneeded connections under load patterns that a
 * pool handles badly if it queues too much or selects servers poorly: backlogs, bursts, slow,
 * lagging and dead replicas. Runs in virtual time with fixed seeds.
 */
final class PoolLoadTest {

  private static final int TARGET_MILLIS = 250;

  private final PoolFixture fixture = new PoolFixture();
  private final Random random = new Random(7);
  private int sent;

  /** Sends reads at a steady rate for the given time. */
  private void sendReads(int perSecond, int millis) {
    int step = Math.max(1, 1_000 / perSecond);
    for (int t = 0; t < millis; t += step) {
      fixture.submit(PoolFixture.read("r" + sent++));
      fixture.advance(step);
    }
  }

  private double shareWithinTarget() {
    long withinTarget =
        fixture.answers.entrySet().stream()
            .filter(e -> e.getValue().succeeded())
            .filter(e -> fixture.tookMillis.get(e.getKey()) <= TARGET_MILLIS)
            .count();
    return (double) withinTarget / sent;
  }

  @Test
  void testBacklogAfterOutageDoesNotDelayLaterStatementsBeyondTarget() {
    fixture.group.server("server-b").work = Duration.ofMillis(20);
    fixture.group.server("server-c").work = Duration.ofMillis(20);
    fixture.group.server("server-a").work = Duration.ofMillis(20);
    for (int i = 0; i < 160; i++) {
      fixture.submit(PoolFixture.read("r" + sent++));
    }
    fixture.advance(300);
    int before = sent;
    sendReads(250, 1_500);
    fixture.advance(1_500);
    long inTime =
        fixture.tookMillis.entrySet().stream()
            .filter(e -> Integer.parseInt(e.getKey().substring(1)) >= before)
            .filter(e -> fixture.answers.get(e.getKey()).succeeded())
            .filter(e -> e.getValue() <= TARGET_MILLIS)
            .count();
    assertWithMessage("of %s that came after the outage", sent - before)
        .that(inTime)
        .isAtLeast((sent - before) * 95 / 100);
  }

  @Test
  void testBurstBeyondCapacityIsRefusedAtOnceWithRetryTime() {
    fixture.group.server("server-b").work = Duration.ofMillis(60);
    fixture.group.server("server-c").work = Duration.ofMillis(60);
    fixture.group.server("server-a").work = Duration.ofMillis(60);
    sendReads(500, 2_000);
    fixture.advance(2_000);
    long refusedSlowly =
        fixture.answers.entrySet().stream()
            .filter(e -> e.getValue().failedWith(FailureCode.OVERLOADED))
            .filter(e -> fixture.tookMillis.get(e.getKey()) > 50)
            .count();
    long refused =
        fixture.answers.values().stream().filter(a -> a.failedWith(FailureCode.OVERLOADED)).count();
    assertThat(refused).isGreaterThan(200);
    assertWithMessage("refused after more than 50 ms, of %s", refused)
        .that(refusedSlowly)
        .isAtMost(refused / 5);
    assertThat(
            fixture.answers.values().stream()
                .filter(a -> a.failedWith(FailureCode.OVERLOADED))
                .allMatch(a -> a.text().contains("retry after")))
        .isTrue();
  }

  @Test
  void testAllReadsOnThePrimaryThatIsLeftAreRefusedAtOnce() {
    for (String id : new String[] {"server-a", "server-b", "server-c"}) {
      fixture.group.server(id).work = Duration.ofMillis(20);
    }
    sendReads(50, 500);
    fixture.group.server("server-b").crash();
    fixture.group.server("server-c").crash();
    fixture.advance(500);
    for (int i = 0; i < 400; i++) {
      fixture.submit(PoolFixture.read("b" + i));
      fixture.advance(2);
      fixture.submit(PoolFixture.work("l" + i, WorkKind.READ, Freshness.LATEST).build());
      fixture.advance(3);
    }
    fixture.advance(1_000);
    long refused =
        fixture.answers.values().stream().filter(a -> a.failedWith(FailureCode.OVERLOADED)).count();
    long refusedSlowly =
        fixture.answers.entrySet().stream()
            .filter(e -> e.getValue().failedWith(FailureCode.OVERLOADED))
            .filter(e -> fixture.tookMillis.get(e.getKey()) > 50)
            .count();
    assertThat(refused).isGreaterThan(200);
    assertWithMessage("refused after more than 50 ms, of %s", refused)
        .that(refusedSlowly)
        .isAtMost(refused / 5);
  }

  @Test
  void testStatementsOfHigherPriorityOvertakeBurst() {
    fixture.group.server("server-a").work = Duration.ofMillis(40);
    for (int i = 0; i < 60; i++) {
      fixture.submit(
          PoolFixture.work("n" + i, WorkKind.READ, Freshness.LATEST).priority(2).build());
    }
    for (int i = 0; i < 5; i++) {
      fixture.submit(
          PoolFixture.work("u" + i, WorkKind.READ, Freshness.LATEST).priority(1).build());
    }
    fixture.advance(2_000);
    for (int i = 0; i < 5; i++) {
      assertThat(fixture.failureOf("u" + i)).isNull();
      assertThat(fixture.tookMillis.get("u" + i)).isAtMost(200);
    }
  }

  @Test
  void testReadsMoveToPrimaryWhenReplicasLag() {
    fixture.group.server("server-b").lag = Duration.ofSeconds(3);
    fixture.group.server("server-c").lag = Duration.ofSeconds(3);
    for (int i = 0; i < 60; i++) {
      fixture.submit(PoolFixture.write("w" + i));
      fixture.submit(PoolFixture.read("r" + sent++));
      fixture.advance(50);
    }
    fixture.advance(1_000);
    assertThat(shareWithinTarget()).isAtLeast(0.95);
  }

  /**
   * The replicas are too far behind for all reads, and the primary alone has room for five sixths
   * of the load. The service times are a third, one and three times those of a usual deployment.
   */
  @ParameterizedTest
  @ValueSource(ints = {1, 3, 9})
  void testLaggingReplicasLeavePrimaryToShortStatements(int scale) {
    fixture.group.server("server-b").lag = Duration.ofMinutes(1);
    fixture.group.server("server-c").lag = Duration.ofMinutes(1);
    fixture.group.server("server-a").workOf = id -> Duration.ofMillis(workMillis(id) * scale);
    fixture.advance(5_000);
    for (int i = 0; i < 800; i++) {
      int kind = random.nextInt(20);
      Work work;
      if (kind < 3) {
        work = PoolFixture.work("u" + i, WorkKind.READ, Freshness.LATEST).build();
      } else if (kind < 17) {
        work = overtaken("s" + i, Freshness.OWN_WRITES, 80 * scale);
      } else {
        work = overtaken("l" + i, Freshness.BOUNDED_AGE, 160 * scale);
      }
      fixture.submit(work);
      sent++;
      if (i % 50 == 0) {
        fixture.submit(PoolFixture.write("w" + i));
      }
      // Three slots are enough for one statement in 1.62 scaled milliseconds.
      fixture.advance(i % 20 < 7 ? 2L * scale : scale);
    }
    fixture.advance(5_000);
    assertWithMessage("short statements in time")
        .that(shareInTime("s", 80 * scale))
        .isAtLeast(0.95);
    assertWithMessage("urgent statements in time").that(shareInTime("u", 250)).isAtLeast(0.95);
    assertWithMessage("long statements served").that(shareInTime("l", 800)).isAtLeast(0.1);
  }

  private static long workMillis(String id) {
    return switch (id.charAt(0)) {
      case 'u' -> 2;
      case 's' -> 5;
      default -> 7;
    };
  }

  private static Work overtaken(String id, Freshness freshness, int targetMillis) {
    return PoolFixture.work(id, WorkKind.READ, freshness)
        .priority(2)
        .target(targetMillis)
        .budget(10 * targetMillis)
        .build();
  }

  private double shareInTime(String prefix, int millis) {
    long all = fixture.answers.keySet().stream().filter(id -> id.startsWith(prefix)).count();
    long inTime =
        fixture.answers.entrySet().stream()
            .filter(e -> e.getKey().startsWith(prefix) && e.getValue().succeeded())
            .filter(e -> fixture.tookMillis.get(e.getKey()) <= millis)
            .count();
    return (double) inTime / all;
  }

  @Test
  void testSlowReplicaGetsFewReads() {
    fixture.group.server("server-b").work = Duration.ofMillis(120);
    sendReads(150, 4_000);
    fixture.advance(1_000);
    int slow = fixture.group.server("server-b").statements;
    int fast = fixture.group.server("server-c").statements;
    assertThat(fast).isGreaterThan(4 * slow);
    assertThat(shareWithinTarget()).isAtLeast(0.99);
  }

  @Test
  void testReplicaCrashFailsNoRequest() {
    sendReads(100, 1_000);
    fixture.group.server("server-b").crash();
    sendReads(100, 2_000);
    fixture.advance(1_000);
    assertThat(fixture.answers.values().stream().filter(a -> !a.succeeded()).count()).isEqualTo(0);
    assertThat(shareWithinTarget()).isAtLeast(0.98);
  }

  @Test
  void testWritesAreNotDelayedByManyReads() {
    int writes = 0;
    for (int t = 0; t < 3_000; t += 4) {
      fixture.submit(PoolFixture.read("r" + sent++));
      if (random.nextInt(10) == 0) {
        fixture.submit(PoolFixture.write("w" + writes++));
      }
      fixture.advance(4);
    }
    fixture.advance(1_000);
    for (int i = 0; i < writes; i++) {
      assertThat(fixture.failureOf("w" + i)).isNull();
      assertThat(fixture.tookMillis.get("w" + i)).isAtMost(150);
    }
  }

  @Test
  void testSteadyLoadOpensFewConnections() {
    sendReads(250, 4_000);
    assertThat(fixture.group.opened).isAtMost(3 * 6);
  }
}
