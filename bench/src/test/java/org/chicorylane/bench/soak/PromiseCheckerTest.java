package org.chicorylane.bench.soak;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.chicorylane.standin.wire.InstanceSettings;
import org.chicorylane.standin.wire.LogEntry;
import org.chicorylane.standin.wire.ReplicatedGroup;
import org.chicorylane.standin.wire.ReplicatedGroupListener;
import org.chicorylane.standin.wire.ReplicatedServer;
import org.chicorylane.standin.wire.ReplicatedSystem;
import org.chicorylane.standin.wire.StandInWireClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The checker finds broken rules that are provoked at the database servers directly. */
final class PromiseCheckerTest {

  private static final long TIMEOUT_MILLIS = 10_000;

  @TempDir Path folder;

  /** For how long servers have been draining, in milliseconds. */
  private volatile long drainedMillis;

  private final CountDownLatch promoted = new CountDownLatch(1);
  private Timeline timeline;
  private PromiseChecker checker;
  private ReplicatedSystem system;
  private ReplicatedGroup group;

  /** Passes all events on to the checker, and notes when a promotion has taken effect. */
  private final class Forwarder implements ReplicatedGroupListener {
    @Override
    public void onArrival(ReplicatedServer server, String requestId, long nanos) {
      checker.onArrival(server, requestId, nanos);
    }

    @Override
    public void onRead(ReplicatedServer server, String requestId) {
      checker.onRead(server, requestId);
    }

    @Override
    public void onCommit(ReplicatedServer server, LogEntry entry) {
      checker.onCommit(server, entry);
    }

    @Override
    public void onPromotionCalled(ReplicatedGroup group, PromotionCall call, boolean accepted) {
      checker.onPromotionCalled(group, call, accepted);
    }

    @Override
    public void onPromotion(ReplicatedServer server, PromotionCall call) {
      checker.onPromotion(server, call);
      promoted.countDown();
    }
  }

  @BeforeEach
  void start() throws IOException {
    timeline = new Timeline(folder.resolve("timeline.log"));
    checker =
        new PromiseChecker(
            timeline,
            instance -> false,
            (server, nanos) -> TimeUnit.MILLISECONDS.toNanos(drainedMillis),
            (g, call) -> {});
    system = new ReplicatedSystem(List.of("plans"), new Forwarder(), 1, address -> address);
    group = system.groups().get(0);
  }

  @AfterEach
  void stop() throws IOException {
    system.close();
    timeline.close();
  }

  private StandInWireClient connect(int index) throws IOException {
    ReplicatedServer server = group.servers().get(index);
    StandInWireClient client = new StandInWireClient(server.address());
    client.ask("STARTUP plans tester " + server.id());
    return client;
  }

  private void ask(int index, String statement) throws IOException {
    try (StandInWireClient client = connect(index)) {
      client.ask("QUERY " + statement);
    }
  }

  private void order(int index, String holder, long token) {
    String id = group.servers().get(index).id();
    group.order(new ReplicatedGroupListener.PromotionCall("plans", id, holder, token));
  }

  private List<String> brokenRules() {
    return timeline.violations().stream().map(v -> v.substring(0, v.indexOf(':'))).toList();
  }

  @Test
  void testSingleStatementAtDrainedServerIsFound() throws Exception {
    drainedMillis = InstanceSettings.DRAIN_MILLIS + 1;
    ask(0, "w1 WRITE item data");
    assertThat(brokenRules()).containsExactly("DRAIN");
  }

  @Test
  void testLaterStatementOfTransactionAtDrainedServerIsAllowed() throws Exception {
    checker.onReadSent(group, "r1", "primary", "session", System.nanoTime());
    checker.onReadSent(group, "r2", "primary", "session", System.nanoTime());
    try (StandInWireClient client = connect(0)) {
      client.ask("QUERY - BEGIN READ");
      client.ask("QUERY r1 READ item");
      drainedMillis = InstanceSettings.DRAIN_MILLIS + 1;
      client.ask("QUERY r2 READ item");
    }
    assertThat(brokenRules()).isEmpty();
  }

  @Test
  void testFirstStatementOfTransactionAtDrainedServerIsFound() throws Exception {
    checker.onReadSent(group, "r1", "primary", "session", System.nanoTime());
    try (StandInWireClient client = connect(0)) {
      client.ask("QUERY - BEGIN READ");
      drainedMillis = InstanceSettings.DRAIN_MILLIS + 1;
      client.ask("QUERY r1 READ item");
    }
    assertThat(brokenRules()).containsExactly("DRAIN");
  }

  @Test
  void testPromotionThatLosesAcknowledgedCommitIsFound() throws Exception {
    ask(1, "- PAUSE 2");
    ask(0, "w1 WRITE item data");
    checker.onAcknowledged(group, "w1", "session");
    order(1, "instance", 1);
    assertThat(promoted.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
    assertThat(brokenRules()).containsExactly("LOST");
  }

  @Test
  void testAcknowledgementOfLostCommitAfterPromotionIsFound() throws Exception {
    ask(1, "- PAUSE 2");
    ask(0, "w1 WRITE item data");
    order(1, "instance", 1);
    assertThat(promoted.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
    checker.onAcknowledged(group, "w1", "session");
    assertThat(brokenRules()).containsExactly("LOST");
  }

  @Test
  void testReadOnStaleReplicaIsFound() throws Exception {
    ask(1, "- PAUSE 2");
    ask(0, "w1 WRITE item data");
    checker.onAcknowledged(group, "w1", "session");
    checker.onReadSent(group, "r1", "read_your_writes", "other", System.nanoTime());
    checker.onReadSent(group, "r2", "read_your_writes", "session", System.nanoTime());
    ask(1, "r1 READ item");
    assertThat(brokenRules()).isEmpty();
    ask(1, "r2 READ item");
    assertThat(brokenRules()).containsExactly("STALE");
  }

  @Test
  void testStatementsThatAreNotAskedForOrRunTwiceAreFound() throws Exception {
    ask(0, "r1 READ item");
    ask(0, "w1 WRITE item data");
    ask(0, "w1 WRITE item data");
    assertThat(brokenRules()).containsExactly("UNASKED", "TWICE").inOrder();
  }

  @Test
  void testCommitOfRefusedStatementIsFound() throws Exception {
    ask(0, "w1 WRITE item data");
    checker.onRefused(group, "w1");
    checker.finish(group);
    assertThat(brokenRules()).containsExactly("REFUSED");
  }

  @Test
  void testFallingAndSharedTokensAreFound() {
    order(1, "instance-1", 7);
    order(1, "instance-1", 7);
    assertThat(brokenRules()).isEmpty();
    order(1, "instance-2", 7);
    order(1, "instance-2", 6);
    assertThat(brokenRules()).containsExactly("ONE", "ONE");
  }
}
