package org.chicorylane.internal.proxy;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.chicorylane.internal.account.AccountRules;
import org.chicorylane.internal.account.KeyFingerprint;
import org.chicorylane.internal.mesh.MeshChannel;
import org.chicorylane.internal.mesh.generated.MeshFrame;
import org.chicorylane.internal.mesh.generated.MeshQuestion;
import org.chicorylane.internal.mesh.generated.MeshWork;
import org.chicorylane.internal.passthrough.FailureCode;
import org.chicorylane.internal.pool.WorkKind;
import org.junit.jupiter.api.Test;

/**
 * Tests questions between instances of different builds. Guards against a question of a later build
 * that ends the connection, and with it the statements on it.
 */
final class MeshServiceTest {

  /** A connection that keeps the frames sent over it. */
  private static final class RecordingChannel implements MeshChannel {
    final List<MeshFrame> sent = new ArrayList<>();

    @Override
    public void send(MeshFrame frame) {
      sent.add(frame);
    }

    @Override
    public void close() {}
  }

  private final ModelFleet fleet = new ModelFleet(2);
  private final RecordingChannel channel = new RecordingChannel();

  private MeshFrame answerTo(MeshQuestion.Builder question) {
    fleet.start();
    MeshFrame frame = MeshFrame.newBuilder().setQuestion(question.setCall(3)).build();
    fleet.host("i0").instance.meshAcceptor().onFrame(channel, frame);
    return channel.sent.get(0);
  }

  @Test
  void testQuestionOfUnknownKindIsAnsweredNegatively() {
    MeshFrame answer = answerTo(MeshQuestion.newBuilder().setKind(99).setGroup("plans"));
    assertThat(answer.getReply().getCall()).isEqualTo(3);
    assertThat(answer.getReply().getYes()).isFalse();
  }

  @Test
  void testQuestionForChangesUnderUnknownPrefixIsAnsweredNegatively() {
    MeshFrame answer = answerTo(StoreMessages.encodeWatch("unknown/", 5));
    assertThat(answer.getReply().getCall()).isEqualTo(3);
    assertThat(answer.getReply().getYes()).isFalse();
  }

  private MeshQuestion.Builder requestToStop(String incarnation) {
    return MeshQuestion.newBuilder()
        .setKind(PeerQuestion.NUMBERS.number(PeerQuestion.STOP_HOME))
        .setGroup("not-configured")
        .setInstance("i0")
        .setIncarnation(incarnation)
        .addArguments("7");
  }

  // Guards against a successor that says it stopped before it knows the group, and stands in later.
  @Test
  void testInstanceThatDoesNotKnowTheGroupDoesNotConfirmItsStop() {
    assertThat(answerTo(requestToStop("i0-1")).getReply().getYes()).isFalse();
  }

  @Test
  void testInstanceThatDoesNotKnowTheGroupConfirmsTheEndOfAnEarlierProcess() {
    assertThat(answerTo(requestToStop("i0-0")).getReply().getYes()).isTrue();
  }

  private MeshQuestion.Builder questionForConfirmation(long version) {
    fleet.accountRules = new AccountRules(true, Duration.ofSeconds(5), true, null);
    fleet.putAccounts(Map.of("key-0", "account-0"));
    return MeshQuestion.newBuilder()
        .setKind(PeerQuestion.NUMBERS.number(PeerQuestion.CONFIRMATION_AGE))
        .addArguments(Long.toString(version));
  }

  @Test
  void testInstanceWithoutConfirmationSaysSo() {
    MeshQuestion.Builder question = questionForConfirmation(0);
    fleet.putConfiguration(3);
    assertThat(answerTo(question).getReply().getYes()).isFalse();
  }

  @Test
  void testConfirmationBringsNewerConfiguration() {
    MeshQuestion.Builder question = questionForConfirmation(1);
    fleet.hosts().forEach(ModelHost::start);
    fleet.advance(3_000);
    MeshFrame frame = MeshFrame.newBuilder().setQuestion(question.setCall(3)).build();
    fleet.home().orElseThrow().instance.meshAcceptor().onFrame(channel, frame);
    assertThat(channel.sent.get(0).getReply().getRevision()).isAtMost(1_100_000_000);
    assertThat(channel.sent.get(0).getReply().getResultsList())
        .containsExactly("2 key-0=account-0 accounts");
  }

  private MeshFrame work(WorkKind kind, boolean begins) {
    return MeshFrame.newBuilder()
        .setWork(
            MeshWork.newBuilder()
                .setCall(begins ? 1 : 2)
                .setGroup("plans")
                .setKind(kind.ordinal())
                .setRequestId("w-" + kind)
                .setText("WRITE item data")
                .setBudgetMillis(800)
                .setTargetMillis(250)
                .setTransaction(5)
                .setBegins(begins)
                .setAccount("account-0")
                .setAccountKey(KeyFingerprint.of("key-0").hex()))
        .build();
  }

  @Test
  void testTransactionOfWithdrawnKeyIsRolledBackAtTheHome() {
    fleet.accountRules = new AccountRules(true, Duration.ofSeconds(5), true, null);
    fleet.putAccounts(Map.of("key-0", "account-0"));
    fleet.start();
    ProxyInstance home = fleet.home().orElseThrow().instance;
    home.meshAcceptor().onFrame(channel, work(WorkKind.WRITE, true));
    fleet.advance(500);
    fleet.putAccounts(Map.of());
    fleet.advance(1_000);
    home.meshAcceptor().onFrame(channel, work(WorkKind.COMMIT, false));
    fleet.putAccounts(Map.of("key-0", "account-0"));
    fleet.advance(1_000);
    home.meshAcceptor().onFrame(channel, work(WorkKind.COMMIT, false));
    fleet.advance(500);
    List<Integer> failures =
        channel.sent.stream()
            .filter(MeshFrame::hasAnswer)
            .map(f -> f.getAnswer().getFailure())
            .toList();
    assertThat(failures)
        .containsExactly(
            0, 1 + FailureCode.UNKNOWN_KEY.ordinal(), 1 + FailureCode.ABORTED.ordinal())
        .inOrder();
  }

  /** Sends the home a write of its own that was sent {@code ageMillis} ago. */
  private void sendWrite(ModelHost home, String id, long ageMillis) {
    MeshWork work =
        MeshWork.newBuilder()
            .setCall(channel.sent.size() + 1)
            .setSentMillis(home.waitNanoTime() / 1_000_000 - ageMillis)
            .setGroup("plans")
            .setKind(WorkKind.WRITE.ordinal())
            .setRequestId(id)
            .setText("WRITE item data")
            .setBudgetMillis(800)
            .setTargetMillis(250)
            .build();
    home.instance.meshAcceptor().onFrame(channel, MeshFrame.newBuilder().setWork(work).build());
    fleet.advance(300);
  }

  // Guards against a statement that runs after its entry has given it up, because the message was
  // held up on its way.
  @Test
  void testStatementThatWasHeldUpBeyondItsTimeIsNotSent() {
    fleet.start();
    fleet.advance(2_000);
    ModelHost home = fleet.home().orElseThrow();
    sendWrite(home, "first", 5);
    sendWrite(home, "held-up", 5 + 900);
    sendWrite(home, "last", 5 + 300);
    assertThat(fleet.group.primary().log().stream().map(e -> e.requestId()).toList())
        .containsExactly("first", "last");
    assertThat(channel.sent.stream().map(f -> f.getAnswer().getFailure()).toList())
        .containsExactly(0, 1 + FailureCode.OVERLOADED.ordinal(), 0)
        .inOrder();
  }
}
