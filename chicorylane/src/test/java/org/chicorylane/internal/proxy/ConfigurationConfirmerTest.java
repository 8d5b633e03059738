package org.chicorylane.internal.proxy;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.chicorylane.internal.account.AccountRules;
import org.chicorylane.internal.account.ConfigurationFreshness;
import org.chicorylane.internal.mesh.MeshChannel;
import org.chicorylane.internal.mesh.MeshTransport;
import org.chicorylane.internal.mesh.PeerLink;
import org.chicorylane.internal.mesh.generated.MeshFrame;
import org.chicorylane.internal.mesh.generated.MeshQuestion;
import org.chicorylane.internal.mesh.generated.MeshReply;
import org.chicorylane.internal.platform.KeyValueEntry;
import org.chicorylane.internal.platform.KeyValueStore;
import org.chicorylane.internal.platform.ReadResult;
import org.chicorylane.internal.platform.StoreTransaction;
import org.chicorylane.internal.platform.WatchListener;
import org.chicorylane.internal.platform.WriteResult;
import org.chicorylane.internal.runtime.AttentionClock;
import org.chicorylane.internal.runtime.DecisionLog;
import org.chicorylane.internal.runtime.VirtualScheduler;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

/**
 * Guards against a confirmation that claims to be younger than it is, or that confirms more than
 * this instance knows.
 */
final class ConfigurationConfirmerTest {

  private static final Duration BOUND = Duration.ofSeconds(5);
  private static final Duration TICK = Duration.ofMillis(50);

  /** A store whose reads are answered by the test. */
  private static final class PendingStore implements KeyValueStore {
    final List<CompletableFuture<ReadResult>> reads = new ArrayList<>();

    @Override
    public CompletableFuture<ReadResult> get(String key) {
      CompletableFuture<ReadResult> read = new CompletableFuture<>();
      reads.add(read);
      return read;
    }

    @Override
    public CompletableFuture<ReadResult> getAt(String key, long revision) {
      throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<ReadResult> range(String prefix) {
      throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<WriteResult> transact(StoreTransaction transaction) {
      throw new UnsupportedOperationException();
    }

    @Override
    public Watch watch(String prefix, long fromRevision, WatchListener listener) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void close() {}
  }

  /** A home that answers each question at once. */
  private final class AnsweringHome implements MeshTransport {
    int questions;

    @Override
    public void connect(String address, MeshTransport.Listener listener) {
      scheduler.schedule(Duration.ZERO, () -> listener.onOpen(new Channel(listener)));
    }

    /** The connection to the home. */
    private final class Channel implements MeshChannel {
      private final MeshTransport.Listener listener;

      Channel(MeshTransport.Listener listener) {
        this.listener = listener;
      }

      @Override
      public void send(MeshFrame frame) {
        if (frame.hasQuestion()) {
          questions++;
          MeshReply.Builder reply = answerOfHome(frame.getQuestion());
          listener.onFrame(MeshFrame.newBuilder().setReply(reply).build());
        }
      }

      @Override
      public void close() {}
    }
  }

  private boolean needed = true;
  private @Nullable Duration ageOfHome;
  private String configurationOfHome = "";
  private final VirtualScheduler scheduler = new VirtualScheduler();
  private final PendingStore store = new PendingStore();
  private final AnsweringHome home = new AnsweringHome();
  private final LatestConfiguration configuration =
      new LatestConfiguration(new ModelFleet(1), () -> 0, DecisionLog.none(), () -> {});
  private final ConfigurationFreshness freshness =
      new ConfigurationFreshness(scheduler::nanoTime, new AccountRules(true, BOUND, true, null));
  private final PeerLink link =
      new PeerLink(
          "home:1",
          home,
          scheduler,
          new AttentionClock(scheduler, TICK),
          configuration::version,
          new SilentListener());
  private final ConfigurationConfirmer confirmer =
      new ConfigurationConfirmer(
          scheduler,
          store,
          "config",
          configuration,
          freshness,
          () -> needed,
          () -> List.of("home:1"),
          address -> link,
          "i0");

  private static final class SilentListener implements PeerLink.LinkListener {
    @Override
    public void onLost(String address, boolean refused) {}

    @Override
    public void onResponse(String address) {}

    @Override
    public void onPeerConfigurationVersion(PeerLink link, long version) {}

    @Override
    public void onConfiguration(String text) {}
  }

  private MeshReply.Builder answerOfHome(MeshQuestion question) {
    MeshReply.Builder reply = MeshReply.newBuilder().setCall(question.getCall());
    Duration age = ageOfHome;
    if (age != null) {
      reply.setYes(true).setRevision(age.toNanos());
      if (!configurationOfHome.isEmpty()) {
        reply.addResults(configurationOfHome);
      }
    }
    return reply;
  }

  private void run(long millis) {
    for (long t = 0; t < millis; t += TICK.toMillis()) {
      confirmer.tick();
      scheduler.advance(TICK);
    }
  }

  private void answer(CompletableFuture<ReadResult> read, String text) {
    read.complete(new ReadResult.Read(List.of(new KeyValueEntry("config", text, 9)), 9));
  }

  @Test
  void testAgeCountsFromTheSendingOfTheRead() {
    confirmer.tick();
    scheduler.advance(Duration.ofMillis(700));
    answer(store.reads.get(0), "1");
    assertThat(freshness.ageMillis()).isEqualTo(700);
  }

  @Test
  void testReadBringsTheConfigurationThatItConfirms() {
    confirmer.tick();
    answer(store.reads.get(0), "7");
    assertThat(configuration.version()).isEqualTo(7);
    assertThat(freshness.isFresh()).isTrue();
  }

  @Test
  void testReadThatFailedOrFoundNothingConfirmsNothing() {
    confirmer.tick();
    store.reads.get(0).complete(new ReadResult.Unavailable("down"));
    run(500);
    store.reads.get(1).complete(new ReadResult.Read(List.of(), 9));
    assertThat(freshness.ageMillis()).isEqualTo(-1);
  }

  @Test
  void testConfirmationOfOtherHomeCountsLessItsAge() {
    ageOfHome = Duration.ofMillis(4_500);
    run(100);
    assertThat(freshness.ageMillis()).isAtLeast(4_500);
    run(500);
    assertThat(freshness.isFresh()).isTrue();
    ageOfHome = null;
    run(500);
    assertThat(freshness.isFresh()).isFalse();
  }

  @Test
  void testConfirmationOfOtherHomeBringsItsNewerConfiguration() {
    ageOfHome = Duration.ofMillis(10);
    configurationOfHome = "8";
    run(500);
    assertThat(configuration.version()).isEqualTo(8);
  }

  @Test
  void testOtherHomesAreNotAskedWhileOwnConfirmationIsYoung() {
    confirmer.tick();
    answer(store.reads.get(0), "1");
    run(2_000);
    assertThat(home.questions).isEqualTo(0);
    run(1_500);
    assertThat(home.questions).isGreaterThan(0);
  }

  @Test
  void testReadsOncePerSecondWhileConfirmed() {
    for (int i = 0; i < 200; i++) {
      run(50);
      store.reads.forEach(r -> answer(r, "1"));
    }
    assertThat(store.reads.size()).isAtMost(11);
  }

  @Test
  void testNothingIsReadOrAskedWhileNotNeeded() {
    needed = false;
    run(10_000);
    assertThat(store.reads).isEmpty();
    assertThat(home.questions).isEqualTo(0);
  }
}
