package org.chicorylane.internal.mesh;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.chicorylane.internal.mesh.generated.MeshAnswer;
import org.chicorylane.internal.mesh.generated.MeshFrame;
import org.chicorylane.internal.mesh.generated.MeshQuestion;
import org.chicorylane.internal.passthrough.SessionValues;
import org.chicorylane.internal.pool.Work;
import org.chicorylane.internal.pool.WorkKind;
import org.chicorylane.internal.runtime.AttentionClock;
import org.chicorylane.internal.runtime.VirtualScheduler;
import org.chicorylane.internal.topology.Freshness;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

/** Tests when a peer that does not answer counts as lost. */
final class PeerLinkTest {

  private static final Duration INTERVAL = Duration.ofMillis(50);

  private final VirtualScheduler scheduler = new VirtualScheduler();
  private final AttentionClock attention = new AttentionClock(scheduler, INTERVAL);
  private final List<String> lost = new ArrayList<>();
  private final List<MeshFrame> sent = new ArrayList<>();
  private final PeerLink link =
      new PeerLink("peer:1", this::connect, scheduler, attention, () -> 0, new Listener());

  private MeshTransport.@Nullable Listener connection;
  private int unanswered;
  private int responses;

  /** Whether connections open later, when the test calls {@link #open()}. */
  private boolean opensLater;

  private void connect(String address, MeshTransport.Listener listener) {
    connection = listener;
    if (!opensLater) {
      open();
    }
  }

  private void open() {
    MeshTransport.Listener listener = connection;
    if (listener == null) {
      throw new AssertionError("no connection was asked for");
    }
    listener.onOpen(
        new MeshChannel() {
          @Override
          public void send(MeshFrame frame) {
            sent.add(frame);
          }

          @Override
          public void close() {
            listener.onClosed();
          }
        });
  }

  /** Asks a question that is not answered, and waits until a ping was sent. */
  private void askInVain() {
    link.ask(MeshQuestion.newBuilder(), Duration.ofSeconds(30), (reply, sent) -> unanswered++);
    runAttentively(Duration.ofMillis(300));
    assertThat(sent.stream().filter(MeshFrame::hasPing)).hasSize(1);
  }

  private void runAttentively(Duration duration) {
    for (Duration run = Duration.ZERO; run.compareTo(duration) < 0; run = run.plus(INTERVAL)) {
      scheduler.advance(INTERVAL);
      attention.check();
      link.tick();
    }
  }

  @Test
  void testSilentPeerIsLostOnce() {
    askInVain();
    runAttentively(Duration.ofMillis(1_000));
    assertThat(lost).containsExactly("peer:1");
  }

  // A slow home: its work was given up after 450 ms, though it answered a little later.
  @Test
  void testCallsOfSilentPeerAreKeptForSomeTime() {
    askInVain();
    runAttentively(Duration.ofMillis(1_400));
    assertThat(unanswered).isEqualTo(0);
    runAttentively(Duration.ofMillis(200));
    assertThat(unanswered).isEqualTo(1);
  }

  @Test
  void testAnyFrameOfSilentPeerTellsThatItResponds() {
    askInVain();
    runAttentively(Duration.ofMillis(600));
    connection.onFrame(
        MeshFrame.newBuilder().setAnswer(MeshAnswer.newBuilder().setCall(9)).build());
    assertThat(responses).isEqualTo(2);
  }

  @Test
  void testCallsOfSilentPeerFailWhenItIsNoLongerUsed() {
    link.setMonitored(true);
    askInVain();
    runAttentively(Duration.ofMillis(600));
    link.setMonitored(false);
    assertThat(unanswered).isEqualTo(1);
  }

  // Restart of everything: cold instances took each other for lost, as they read answers late.
  @Test
  void testStallOfThisInstanceIsNotTakenForSilenceOfThePeer() {
    askInVain();
    scheduler.advance(Duration.ofMillis(900));
    attention.check();
    link.tick();
    assertThat(lost).isEmpty();
  }

  @Test
  void testPeerThatHasJustBecomeTheHomeMayAnswerLate() {
    link.expectLateAnswers();
    askInVain();
    runAttentively(Duration.ofMillis(1_000));
    assertThat(lost).isEmpty();
  }

  @Test
  void testPeerThatHasJustBecomeTheHomeAndIsSilentIsLost() {
    link.expectLateAnswers();
    askInVain();
    runAttentively(Duration.ofMillis(1_600));
    assertThat(lost).containsExactly("peer:1");
  }

  /** Sends a statement that is not answered. */
  private long send(long transaction) {
    Work work =
        new Work(
            WorkKind.WRITE,
            "w",
            "WRITE 1a4 data",
            null,
            Freshness.LATEST,
            0,
            null,
            SessionValues.EMPTY,
            transaction,
            transaction != 0,
            false,
            1,
            250,
            1_000,
            null);
    return link.sendWork(
        "plans",
        work,
        new PeerLink.WorkResultHandler() {
          @Override
          public void onAnswer(MeshAnswer answer) {}

          @Override
          public void onLost(boolean wasSent) {}
        });
  }

  // Guards against statements that their home may send after their entries have given them up.
  @Test
  void testBudgetOfStatementShrinksWhileLinkOpens() {
    opensLater = true;
    send(0);
    scheduler.advance(Duration.ofMillis(300));
    open();
    assertThat(sent).hasSize(1);
    assertThat(sent.get(0).getWork().getBudgetMillis()).isEqualTo(700);
    assertThat(sent.get(0).getWork().getTargetMillis()).isEqualTo(0);
  }

  // Guards against transactions that begin at the home after their clients have left.
  @Test
  void testStatementOfAbandonedTransactionIsNotSentWhenLinkOpens() {
    opensLater = true;
    send(7);
    send(8);
    link.sendAbandon("plans", 7);
    open();
    assertThat(sent.stream().map(frame -> frame.getWork().getTransaction()).toList())
        .containsExactly(8L);
  }

  @Test
  void testAbandonedStatementIsNotSentWhenLinkOpens() {
    opensLater = true;
    long call = send(0);
    link.sendAbandonCall("plans", call);
    open();
    assertThat(sent).isEmpty();
  }

  private final class Listener implements PeerLink.LinkListener {
    @Override
    public void onLost(String address, boolean refused) {
      lost.add(address);
    }

    @Override
    public void onResponse(String address) {
      responses++;
    }

    @Override
    public void onPeerConfigurationVersion(PeerLink peer, long version) {}

    @Override
    public void onConfiguration(String text) {}
  }
}
