package org.chicorylane.internal.pool;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.chicorylane.internal.passthrough.Answer;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.topology.BackendServer;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

/** Tests the estimate of a server's load and the choice that is made from it. */
final class ServerLoadTest {

  private static final long START_NANOS = Duration.ofHours(1).toNanos();

  private final PoolServer primary = server("server-a", true);
  private final PoolServer replica = server("server-b", false);
  private final PoolServer other = server("server-c", false);
  private final List<PoolServer> servers = List.of(primary, replica, other);
  private final Random random = new Random(1);
  private long now = START_NANOS;

  private static PoolServer server(String id, boolean primary) {
    PoolServer s =
        new PoolServer(
            new BackendServer(id, "plans", id + ":1", "zone", 4, false, primary, 1),
            server -> Long.MAX_VALUE);
    s.primary = primary;
    return s;
  }

  private double foreign(PoolServer s) {
    return s.load.foreign(ServerLoad.meanOf(servers), now);
  }

  private @Nullable PoolServer choose(int waiting) {
    QueuedWork item =
        new QueuedWork(
            this,
            PoolFixture.read("r"),
            new IgnoringHandler(),
            now,
            0,
            null,
            ServiceTimes.INITIAL_NANOS);
    return ServerChoice.choose(
        servers,
        item,
        LogPosition.ZERO,
        PrimaryHalt.NOTHING,
        new FloorTracker(),
        now,
        s -> true,
        random,
        waiting);
  }

  private PoolServer choose() {
    PoolServer chosen = choose(1);
    if (chosen == null) {
      throw new AssertionError("no server");
    }
    return chosen;
  }

  private static final class IgnoringHandler implements WorkHandler {
    @Override
    public void onAnswer(Answer answer) {}

    @Override
    public void onNotHome() {}
  }

  @Test
  void testReportCountsOnlyLoadOfOthers() {
    replica.load.onReport(4, 2, now);
    assertThat(foreign(replica)).isWithin(1e-9).of(1);
  }

  @Test
  void testOldReportTendsToMeanOfGroup() {
    replica.load.onReport(4, 0, now);
    other.load.onReport(2, 0, now);
    assertThat(foreign(replica)).isWithin(1e-9).of(3);
    now += Duration.ofSeconds(5).toNanos();
    assertThat(foreign(replica)).isWithin(0.01).of(2);
    assertThat(foreign(other)).isWithin(0.01).of(2);
  }

  @Test
  void testServerWithoutReportIsNotTakenAsIdle() {
    assertThat(foreign(replica)).isWithin(1e-9).of(2);
    other.load.onReport(4, 0, now);
    assertThat(foreign(replica)).isWithin(1e-9).of(3);
    assertThat(replica.load.ageMillis(now)).isNull();
  }

  @Test
  void testReadAvoidsReplicaThatOthersUse() {
    replica.load.onReport(5, 0, now);
    other.load.onReport(1, 0, now);
    for (int i = 0; i < 10; i++) {
      assertThat(choose()).isSameInstanceAs(other);
    }
  }

  @Test
  void testReadsSpreadOverReplicasOfSimilarSpeed() {
    replica.slowness = 0.97;
    for (int i = 0; i < 4; i++) {
      choose().inFlight++;
    }
    assertThat(replica.inFlight).isEqualTo(2);
    assertThat(other.inFlight).isEqualTo(2);
  }

  @Test
  void testHandshakesTakeRoom() {
    replica.opening = 2;
    assertThat(choose()).isSameInstanceAs(other);
  }

  @Test
  void testEqualReplicasAreChosenAtRandom() {
    Map<String, Integer> chosen = new HashMap<>();
    for (int i = 0; i < 100; i++) {
      chosen.merge(choose().backend.id(), 1, Integer::sum);
    }
    assertThat(chosen.get("server-b")).isAtLeast(30);
    assertThat(chosen.get("server-c")).isAtLeast(30);
  }

  @Test
  void testReadsUseFreeSlotsOfPrimaryWhenReplicasAreFull() {
    replica.inFlight = 5;
    other.inFlight = 5;
    replica.load.onReport(6, 5, now);
    other.load.onReport(6, 5, now);
    primary.load.onReport(1, 0, now);
    assertThat(choose()).isSameInstanceAs(primary);
  }

  @Test
  void testSlotFreeIsPreferredToFasterServerThatIsFull() {
    replica.inFlight = 4;
    other.slowness = 1.5;
    replica.load.onReport(5, 4, now);
    other.load.onReport(1, 0, now);
    assertThat(choose()).isSameInstanceAs(other);
  }

  @Test
  void testSingleReadWaitsForFirstFreeSlotOfAnyReplica() {
    replica.inFlight = 4;
    other.inFlight = 4;
    primary.inFlight = 2;
    assertThat(choose(1)).isNull();
    assertThat(choose(2)).isAnyOf(replica, other);
  }

  @Test
  void testReadRunsOnPrimaryThatIsHalfFreeBeforeItWaits() {
    replica.inFlight = 4;
    other.inFlight = 4;
    primary.inFlight = 1;
    primary.load.onReport(2, 1, now);
    assertThat(choose(1)).isSameInstanceAs(primary);
    assertThat(choose(2)).isSameInstanceAs(primary);
  }

  @Test
  void testReportsAreAveraged() {
    replica.load.onReport(5, 0, now);
    replica.load.onReport(1, 0, now);
    assertThat(foreign(replica)).isWithin(1e-9).of(2);
  }

  @Test
  void testInstancesWithSameReportsChooseDifferently() {
    replica.load.onReport(3, 0, now);
    other.load.onReport(4, 0, now);
    int others = 0;
    for (int i = 0; i < 100; i++) {
      others += choose() == other ? 1 : 0;
    }
    assertThat(others).isAtLeast(10);
    assertThat(others).isAtMost(60);
  }

  @Test
  void testReadsLeaveSlotsOfPrimaryThatOthersUse() {
    replica.inFlight = 5;
    other.inFlight = 5;
    replica.load.onReport(6, 5, now);
    other.load.onReport(6, 5, now);
    primary.load.onReport(5, 0, now);
    assertThat(choose(1)).isNull();
  }
}
