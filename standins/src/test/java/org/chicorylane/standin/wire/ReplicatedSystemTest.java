package org.chicorylane.standin.wire;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The stand-in group speaks the protocol that the users' page describes. */
final class ReplicatedSystemTest {

  private static final long TIMEOUT_MILLIS = 10_000;

  private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
  private ReplicatedSystem system;
  private ReplicatedGroup group;

  /** Records the commits and promotions of the group. */
  private final class Recorder implements ReplicatedGroupListener {
    @Override
    public void onRead(ReplicatedServer server, String requestId) {}

    @Override
    public void onCommit(ReplicatedServer server, LogEntry entry) {
      events.add("commit " + entry.requestIds());
    }

    @Override
    public void onPromotionCalled(ReplicatedGroup group, PromotionCall call, boolean accepted) {
      events.add("called " + call.holder() + " " + call.token() + " " + accepted);
    }

    @Override
    public void onPromotion(ReplicatedServer server, PromotionCall call) {
      events.add("promoted " + server.id());
    }
  }

  @BeforeEach
  void start() throws IOException {
    system = new ReplicatedSystem(List.of("plans"), new Recorder(), 1, address -> address);
    group = system.groups().get(0);
  }

  @AfterEach
  void stop() throws IOException {
    system.close();
  }

  private ReplicatedServer server(int index) {
    return group.servers().get(index);
  }

  private StandInWireClient connect(int index) throws IOException {
    StandInWireClient client = new StandInWireClient(server(index).address());
    client.ask("STARTUP plans tester " + server(index).id());
    return client;
  }

  private void awaitEvent(String event) throws InterruptedException {
    String next = "";
    while (!event.equals(next)) {
      next = events.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
      assertThat(next).isNotNull();
    }
  }

  /** Asks for the status until it begins with the given fields. */
  private static void awaitStatus(StandInWireClient client, String fields) throws IOException {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
    String row = "";
    while (!row.startsWith("DATAROW " + fields) && System.nanoTime() < end) {
      row = client.ask("QUERY - STATUS").get(0);
    }
    assertThat(row).startsWith("DATAROW " + fields);
  }

  private void promote(int index) {
    group.order(
        new ReplicatedGroupListener.PromotionCall("plans", server(index).id(), "instance-1", 7));
  }

  @Test
  void testCommitIsAcknowledgedOnceOneReplicaHasReceivedIt() throws Exception {
    try (StandInWireClient client = connect(0)) {
      assertThat(client.ask("QUERY w1 WRITE item data"))
          .containsExactly("COMPLETE sig.w1", "READY I 1.2")
          .inOrder();
      assertThat(server(1).hasReceived("w1") || server(2).hasReceived("w1")).isTrue();
    }
  }

  @Test
  void testCommitWaitsWhileAllReplicasAreSealed() throws Exception {
    try (StandInWireClient client = connect(0);
        StandInWireClient b = connect(1);
        StandInWireClient c = connect(2)) {
      b.ask("QUERY - PAUSE 2");
      c.ask("QUERY - PAUSE 2");
      client.send("QUERY w1 WRITE item data\r\n");
      awaitEvent("commit [w1]");
      awaitStatus(b, "replica 1 1.1 2 ");
      b.ask("QUERY - RESUME");
      assertThat(client.line()).isEqualTo("COMPLETE sig.w1");
      awaitStatus(b, "replica 1 1.2 0 ");
      awaitStatus(c, "replica 1 1.1 2 ");
    }
  }

  @Test
  void testSealNeedsTermAboveTheNewest() throws Exception {
    try (StandInWireClient b = connect(1)) {
      b.ask("QUERY - PAUSE 1");
      awaitStatus(b, "replica 1 1.1 0 ");
    }
  }

  @Test
  void testPromotedServerLeadsWithWhatItHadReceived() throws Exception {
    try (StandInWireClient client = connect(0);
        StandInWireClient b = connect(1);
        StandInWireClient c = connect(2)) {
      b.ask("QUERY - PAUSE 2");
      client.ask("QUERY w1 WRITE item data");
      promote(1);
      awaitEvent("called instance-1 7 true");
      awaitEvent("promoted " + server(1).id());
      awaitStatus(b, "primary 2 1.1 0 ");
      // The replica that was ahead is rolled back.
      awaitStatus(c, "replica 2 1.1 0 ");
      assertThat(server(2).hasReceived("w1")).isFalse();
    }
  }

  @Test
  void testReplacedPrimaryContinuesUntilItStepsDown() throws Exception {
    try (StandInWireClient client = connect(0);
        StandInWireClient other = connect(0)) {
      server(0).setIsolated(true);
      promote(1);
      awaitEvent("promoted " + server(1).id());
      assertThat(client.ask("QUERY r1 READ item")).contains("COMPLETE sig.r1");
      assertThat(other.ask("QUERY - STEPDOWN 2").get(0)).startsWith("DATAROW replica 1 ");
      assertThat(server(0).isPrimary()).isFalse();
    }
  }

  @Test
  void testReplacedPrimaryStepsDownByItselfOnceItReachesTheNewOne() throws Exception {
    promote(1);
    awaitEvent("promoted " + server(1).id());
    assertThat(server(0).isPrimary()).isTrue();
    try (StandInWireClient client = connect(0)) {
      // The server closes its connections when it steps down.
      long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
      boolean isOpen = true;
      while (isOpen && System.nanoTime() < end) {
        isOpen = !client.ask("QUERY - STATUS").isEmpty();
      }
    }
    assertThat(server(0).isPrimary()).isFalse();
  }

  @Test
  void testCrashedPrimaryReturnsWithItsLog() throws Exception {
    try (StandInWireClient client = connect(0)) {
      client.ask("QUERY w1 WRITE item data");
    }
    server(0).crash();
    server(0).restart(server(0).id());
    try (StandInWireClient client = connect(0)) {
      awaitStatus(client, "primary 1 1.2 0 ");
    }
  }

  /** A thread that still waited in accept() kept the port of a crashed server. */
  @Test
  void testServerListensAgainAfterEachCrash() throws Exception {
    for (int i = 0; i < 200; i++) {
      server(1).crash();
      server(1).restart(server(1).id());
    }
    assertThat(server(1).isRunning()).isTrue();
  }

  @Test
  void testCrashedPrimaryReturnsAsReplicaAfterPromotion() throws Exception {
    server(0).crash();
    promote(1);
    awaitEvent("promoted " + server(1).id());
    server(0).restart(server(0).id());
    try (StandInWireClient client = connect(0)) {
      awaitStatus(client, "replica 2 ");
    }
  }

  @Test
  void testFrozenServerAnswersAfterIt() throws Exception {
    try (StandInWireClient client = connect(0)) {
      server(0).setFrozen(true);
      client.send("QUERY w1 WRITE item data\r\n");
      assertThat(server(0).answers()).isFalse();
      server(0).setFrozen(false);
      assertThat(client.line()).isEqualTo("COMPLETE sig.w1");
    }
  }

  @Test
  void testTransactionCommitsItsWritesTogether() throws Exception {
    try (StandInWireClient client = connect(0)) {
      client.ask("QUERY - BEGIN");
      client.ask("QUERY w1 WRITE item data");
      assertThat(server(0).hasReceived("w1")).isFalse();
      assertThat(client.ask("QUERY c1 COMMIT").get(0)).isEqualTo("COMPLETE sig.c1");
      awaitEvent("commit [w1, c1]");
    }
  }

  @Test
  void testReplicaRefusesWritesAndPositionsThatItLacks() throws Exception {
    try (StandInWireClient client = connect(1)) {
      assertThat(client.ask("QUERY w1 WRITE item data").get(0)).startsWith("ERROR READONLY");
      assertThat(client.ask("QUERY r1 SINCE 1.9 READ item").get(0)).startsWith("ERROR LAGGING");
      assertThat(client.ask("QUERY r2 SINCE 1.1 READ item")).contains("COMPLETE sig.r2");
    }
  }

  @Test
  void testWrongIdIsRefused() throws Exception {
    try (StandInWireClient client = new StandInWireClient(server(0).address())) {
      client.send("STARTUP plans tester " + server(1).id() + "\r\n");
      assertThat(client.line()).isEqualTo("ERROR WRONGNODE " + server(0).id());
      assertThat(client.line()).isEmpty();
    }
  }

  @Test
  void testLapsedServerIsNotListed() {
    assertThat(system.store().engine().get("servers/" + server(1).id())).isNotNull();
    system.setLapsed(server(1), true);
    assertThat(system.store().engine().get("servers/" + server(1).id())).isNull();
    system.setLapsed(server(1), false);
    assertThat(system.store().engine().get("servers/" + server(1).id())).isNotNull();
  }
}
