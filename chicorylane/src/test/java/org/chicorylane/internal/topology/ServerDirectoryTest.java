package org.chicorylane.internal.topology;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Map;
import java.util.OptionalLong;
import org.chicorylane.internal.platform.RevisionTimes;
import org.chicorylane.internal.runtime.DecisionLog;
import org.chicorylane.internal.runtime.VirtualScheduler;
import org.junit.jupiter.api.Test;

/**
 * Guards against dropping running servers when their entries expire during an outage of the store,
 * against keeping servers whose entries stay away, and against using draining ones for too long.
 */
final class ServerDirectoryTest {

  private final VirtualScheduler scheduler = new VirtualScheduler();
  private int changes;
  private final RevisionTimes revisionTimes = new RevisionTimes();
  private final ServerDirectory directory =
      new ServerDirectory(
          scheduler, revisionTimes, DecisionLog.none(), Duration.ofSeconds(7), group -> changes++);

  private static ServerDirectory.Entry server(String id) {
    return new ServerDirectory.Entry(
        new BackendServer(id, "plans", "10.0.0.1:1", "a", 3, false, false, 1), 1);
  }

  private static ServerDirectory.Entry draining(String id, long revision) {
    return new ServerDirectory.Entry(server(id).server().withDraining(true), revision);
  }

  private long remainingMillis(ServerDirectory.Entry entry) {
    return directory.remainingNanos(entry.server()) / 1_000_000;
  }

  @Test
  void testServerThatIsNotDrainingTakesWorkWithoutLimit() {
    directory.put(server("s1"));
    assertThat(directory.remainingNanos(server("s1").server())).isEqualTo(Long.MAX_VALUE);
  }

  // Guards against counting a drain from the moment at which it is seen.
  @Test
  void testDrainIsCountedFromTheLastCallThatTheStoreAnsweredBefore() {
    directory.put(server("s1"));
    revisionTimes.onAnswer(scheduler.nanoTime(), 10);
    scheduler.advance(Duration.ofSeconds(2));
    ServerDirectory.Entry drained = draining("s1", 11);
    directory.put(drained);
    assertThat(remainingMillis(drained)).isEqualTo(4_500);
    scheduler.advance(Duration.ofSeconds(5));
    assertThat(remainingMillis(drained)).isEqualTo(-500);
  }

  // Guards against a drain that starts anew with each change of the entry.
  @Test
  void testLaterChangesOfTheEntryDoNotExtendTheDrain() {
    directory.put(server("s1"));
    revisionTimes.onAnswer(scheduler.nanoTime(), 10);
    directory.put(draining("s1", 11));
    scheduler.advance(Duration.ofSeconds(3));
    revisionTimes.onAnswer(scheduler.nanoTime(), 20);
    ServerDirectory.Entry changed = draining("s1", 21);
    directory.replaceAll(Map.of("s1", changed));
    assertThat(remainingMillis(changed)).isEqualTo(3_500);
  }

  @Test
  void testServerThatIsFirstSeenDrainingTakesNoWorkUntilAnotherInstanceTells() {
    revisionTimes.onAnswer(scheduler.nanoTime(), 10);
    ServerDirectory.Entry drained = draining("s1", 11);
    directory.put(drained);
    assertThat(remainingMillis(drained)).isEqualTo(0);
    assertThat(directory.drainedServers("plans")).containsExactly(drained.server());
    directory.learnDrainStart("s1", scheduler.nanoTime() - Duration.ofSeconds(1).toNanos());
    assertThat(remainingMillis(drained)).isEqualTo(5_500);
    assertThat(directory.drainedServers("plans")).isEmpty();
  }

  // Guards against a drain and a later change in one gap of the watch, whose times differ.
  @Test
  void testDrainThatAppearsTogetherWithAnotherChangeHasNoKnownStart() {
    directory.put(server("s1"));
    revisionTimes.onAnswer(scheduler.nanoTime(), 10);
    BackendServer promoted = new BackendServer("s1", "plans", "10.0.0.1:1", "a", 3, true, true, 1);
    directory.replaceAll(Map.of("s1", new ServerDirectory.Entry(promoted, 12)));
    assertThat(directory.drainingNanos("s1")).isEqualTo(OptionalLong.empty());
  }

  @Test
  void testDrainThatIsWithdrawnIsForgotten() {
    directory.put(server("s1"));
    revisionTimes.onAnswer(scheduler.nanoTime(), 10);
    directory.put(draining("s1", 11));
    directory.put(server("s1"));
    assertThat(directory.drainingNanos("s1")).isEqualTo(OptionalLong.empty());
  }

  @Test
  void testServerIsRemovedOnlyAfterGracePeriod() {
    directory.put(server("s1"));
    directory.markMissing("s1");
    scheduler.advance(Duration.ofSeconds(2));
    assertThat(directory.ofGroup("plans")).hasSize(1);
    scheduler.advance(Duration.ofSeconds(1));
    assertThat(directory.ofGroup("plans")).isEmpty();
  }

  @Test
  void testServerStaysIfEntryReturnsWithinGracePeriod() {
    directory.put(server("s1"));
    directory.replaceAll(Map.of());
    scheduler.advance(Duration.ofSeconds(2));
    directory.put(server("s1"));
    scheduler.advance(Duration.ofSeconds(5));
    assertThat(directory.ofGroup("plans")).hasSize(1);
    assertThat(changes).isEqualTo(1);
  }

  @Test
  void testReturnOfStoreRestartsGracePeriod() {
    directory.put(server("s1"));
    directory.markMissing("s1");
    scheduler.advance(Duration.ofSeconds(2));
    directory.onStoreReturned();
    scheduler.advance(Duration.ofSeconds(2));
    assertThat(directory.ofGroup("plans")).hasSize(1);
  }

  @Test
  void testCompleteReadReportsOneChangePerGroup() {
    directory.replaceAll(Map.of("s1", server("s1"), "s2", server("s2"), "s3", server("s3")));
    assertThat(changes).isEqualTo(1);
  }
}
