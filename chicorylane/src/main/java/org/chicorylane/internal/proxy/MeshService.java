package org.chicorylane.internal.proxy;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;
import org.chicorylane.internal.election.HomeElection;
import org.chicorylane.internal.election.HomeRecord;
import org.chicorylane.internal.election.PeerClient;
import org.chicorylane.internal.mesh.MeshChannel;
import org.chicorylane.internal.mesh.MeshMessages;
import org.chicorylane.internal.mesh.NettyMeshTransport;
import org.chicorylane.internal.mesh.PeerLink;
import org.chicorylane.internal.mesh.TransitDelay;
import org.chicorylane.internal.mesh.generated.MeshFrame;
import org.chicorylane.internal.mesh.generated.MeshPing;
import org.chicorylane.internal.mesh.generated.MeshQuestion;
import org.chicorylane.internal.mesh.generated.MeshReply;
import org.chicorylane.internal.mesh.generated.MeshWork;
import org.chicorylane.internal.passthrough.Answer;
import org.chicorylane.internal.passthrough.FailureCode;
import org.chicorylane.internal.passthrough.ServerCommand;
import org.chicorylane.internal.passthrough.ServerConnector;
import org.chicorylane.internal.passthrough.ServerLink;
import org.chicorylane.internal.platform.KeyValueStore;
import org.chicorylane.internal.platform.ReadResult;
import org.chicorylane.internal.platform.WriteResult;
import org.chicorylane.internal.pool.Work;
import org.chicorylane.internal.pool.WorkHandler;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.quota.FleetQuota;
import org.chicorylane.internal.runtime.AttentionClock;
import org.chicorylane.internal.runtime.Scheduler;
import org.chicorylane.internal.topology.ServerDirectory;
import org.jspecify.annotations.Nullable;

/**
 * Serves the frames that other instances send over the mesh: statements for groups whose home is
 * this instance, questions, and heartbeats.
 *
 * <p>Confined to the instance's thread.
 */
final class MeshService implements NettyMeshTransport.MeshAcceptor {

  /** Time within which a probed server or home must answer; less than the asking peer waits. */
  private static final Duration PROBE_TIMEOUT = Duration.ofMillis(350);

  /** A home counts as reachable if its last response is at most this old. */
  private static final Duration MAXIMUM_RESPONSE_AGE = Duration.ofMillis(700);

  private static final String STORE_UNAVAILABLE = "the store does not answer this instance either";

  private final String selfIncarnation;
  private final Scheduler scheduler;
  private final AttentionClock attention;
  private final ServerConnector connector;
  private final Function<String, @Nullable HomeElection> elections;
  private final Collection<HomeElection> allElections;
  private final Function<String, PeerLink> links;
  private final LatestConfiguration configuration;
  private final KeyValueStore store;
  private final BooleanSupplier storeUnavailable;
  private final ServerDirectory servers;
  private final Map<String, PrefixFollower> followers;
  private final ConfigurationConfirmer confirmer;

  /** The version of the configuration that was sent last over each connection, after a refusal. */
  private final Map<MeshChannel, Long> sentVersions = new HashMap<>();

  /** By how much frames of each connection are held up on their way here. */
  private final Map<MeshChannel, TransitDelay> transitDelays = new HashMap<>();

  private final FleetQuota quota;

  /**
   * Creates a service.
   *
   * @param selfIncarnation id of this process start
   * @param attention tells whether this instance is too slow to tell that another process is silent
   * @param followers the followers of the store by their prefix, which relay its changes
   * @param confirmer tells the age of this instance's confirmation of the configuration
   * @param quota lends other instances tokens of client accounts
   */
  MeshService(
      String selfIncarnation,
      Scheduler scheduler,
      AttentionClock attention,
      ServerConnector connector,
      Function<String, @Nullable HomeElection> elections,
      Collection<HomeElection> allElections,
      Function<String, PeerLink> links,
      LatestConfiguration configuration,
      KeyValueStore store,
      BooleanSupplier storeUnavailable,
      ServerDirectory servers,
      Map<String, PrefixFollower> followers,
      ConfigurationConfirmer confirmer,
      FleetQuota quota) {
    this.selfIncarnation = selfIncarnation;
    this.confirmer = confirmer;
    this.quota = quota;
    this.servers = servers;
    this.followers = followers;
    this.store = store;
    this.storeUnavailable = storeUnavailable;
    this.scheduler = scheduler;
    this.attention = attention;
    this.connector = connector;
    this.elections = elections;
    this.allElections = allElections;
    this.links = links;
    this.configuration = configuration;
  }

  @Override
  public void onFrame(MeshChannel channel, MeshFrame frame) {
    switch (frame.getBodyCase()) {
      case WORK -> onWork(channel, frame.getWork());
      case PING -> onPing(channel, frame.getPing());
      case ABANDON -> {
        HomeElection election = elections.apply(frame.getAbandon().getGroup());
        if (election != null && frame.getAbandon().getCall() != 0) {
          election.drop(new MeshCall(channel, frame.getAbandon().getCall()));
        } else if (election != null) {
          election.abandon(channel, frame.getAbandon().getTransaction());
        }
      }
      case CONFIGURATION -> configuration.update(frame.getConfiguration().getText(), "a peer");
      case QUESTION -> onQuestion(channel, frame.getQuestion());
      default -> {
        // All other kinds of frame are only sent by the side that accepted the connection.
      }
    }
  }

  @Override
  public void onClosed(MeshChannel channel) {
    sentVersions.remove(channel);
    transitDelays.remove(channel);
    allElections.forEach(election -> election.abandonAll(channel));
  }

  private void onWork(MeshChannel channel, MeshWork work) {
    HomeElection election = elections.apply(work.getGroup());
    if (election == null) {
      channel.send(MeshMessages.notHomeFrame(work.getCall()));
      return;
    }
    int heldUpMillis = recordTransit(channel, work.getSentMillis());
    Work decoded = MeshMessages.decodeWork(work);
    election.submit(
        channel,
        heldUpMillis == 0 ? decoded : decoded.afterWaiting(heldUpMillis),
        new MeshCall(channel, work.getCall()));
  }

  /** Records the arrival of a frame and returns by how many milliseconds it was held up. */
  private int recordTransit(MeshChannel channel, long sentMillis) {
    return transitDelays
        .computeIfAbsent(channel, c -> new TransitDelay())
        .recordArrival(sentMillis, scheduler.waitNanoTime() / 1_000_000);
  }

  /**
   * Answers a statement of an entry. Equal to other objects for the same call, so that the entry
   * can abandon it by its number.
   */
  private final class MeshCall implements WorkHandler {
    private final MeshChannel channel;
    private final long call;

    MeshCall(MeshChannel channel, long call) {
      this.channel = channel;
      this.call = call;
    }

    @Override
    public void onAnswer(Answer answer) {
      if (answer.failure() == FailureCode.UNKNOWN_KEY) {
        sendConfiguration(channel);
      }
      channel.send(MeshMessages.answerFrame(call, answer));
    }

    @Override
    public void onNotHome() {
      channel.send(MeshMessages.notHomeFrame(call));
    }

    @Override
    public boolean equals(@Nullable Object other) {
      return other instanceof MeshCall c && call == c.call && channel.equals(c.channel);
    }

    @Override
    public int hashCode() {
      return 31 * channel.hashCode() + Long.hashCode(call);
    }
  }

  /** Sends the configuration to an entry that accepts a key which this home does not. */
  private void sendConfiguration(MeshChannel channel) {
    Long sent = sentVersions.put(channel, configuration.version());
    if (sent == null || sent < configuration.version()) {
      channel.send(MeshMessages.configurationFrame(configuration.text()));
    }
  }

  private void onPing(MeshChannel channel, MeshPing ping) {
    recordTransit(channel, ping.getSentMillis());
    channel.send(MeshMessages.pongFrame(ping.getSequence(), configuration.version()));
    if (ping.getConfigurationVersion() < configuration.version()) {
      channel.send(MeshMessages.configurationFrame(configuration.text()));
    }
  }

  private void onQuestion(MeshChannel channel, MeshQuestion question) {
    HomeElection election = elections.apply(question.getGroup());
    Consumer<Boolean> reply = yes -> reply(channel, question, yes, null);
    if (!PeerQuestion.NUMBERS.contains(question.getKind())) {
      // A question of a later build; closing the connection would end the statements on it.
      reply.accept(false);
      return;
    }
    switch (PeerQuestion.NUMBERS.constant(question.getKind())) {
      case PROBE_SERVER ->
          probeServer(
              new ServerConnector.Target(
                  question.getGroup(), question.getServerId(), question.getAddress()),
              testimony(reply));
      case HEARS_HOME -> checkHome(election, testimony(reply));
      case TAKE_HOME -> {
        if (election == null) {
          reply.accept(false);
        } else {
          election.takeOver(reply);
        }
      }
      case STORE_RANGE ->
          (storeUnavailable.getAsBoolean()
                  ? CompletableFuture.completedFuture(new ReadResult.Unavailable(STORE_UNAVAILABLE))
                  : store.range(question.getArguments(0)))
              .thenAccept(r -> reply(channel, question, StoreMessages.encodeReply(r)));
      case STORE_TRANSACT ->
          (storeUnavailable.getAsBoolean()
                  ? CompletableFuture.completedFuture(
                      new WriteResult.Unavailable(STORE_UNAVAILABLE, false))
                  : store.transact(StoreMessages.decodeTransaction(question)))
              .thenAccept(r -> reply(channel, question, StoreMessages.encodeReply(r)));
      case DRAIN_AGE -> {
        OptionalLong age = servers.drainingNanos(question.getServerId());
        reply(
            channel,
            question,
            MeshReply.newBuilder().setYes(age.isPresent()).setRevision(age.orElse(0)));
      }
      case CONFIRMATION_AGE -> reply(channel, question, confirmer.answer(question));
      case STORE_WATCH -> watchStore(channel, question);
      case QUOTA_GRANT ->
          reply(
              channel,
              question,
              QuotaLoans.encodeReply(
                  quota.lend(QuotaLoans.decodeAmounts(question.getArgumentsList()))));
      case STOP_HOME -> stopHome(channel, question, election, true);
      default -> stopHome(channel, question, election, false);
    }
  }

  /** Returns a reply that withholds a no of an instance that is too slow to know. */
  private Consumer<Boolean> testimony(Consumer<Boolean> reply) {
    return yes -> {
      if (yes || !attention.isStalling()) {
        reply.accept(yes);
      }
    };
  }

  private void watchStore(MeshChannel channel, MeshQuestion question) {
    PrefixFollower follower = followers.get(question.getArguments(0));
    if (follower == null) {
      reply(channel, question, false, null);
    } else {
      follower.answer(Long.parseLong(question.getArguments(1)), r -> reply(channel, question, r));
    }
  }

  /**
   * Answers a request to stop. Without a configuration this process has served no group, but it may
   * be the successor under the present record and stand in once it has read it.
   */
  private void stopHome(
      MeshChannel channel, MeshQuestion question, @Nullable HomeElection election, boolean atOnce) {
    PeerClient.StopReply stop =
        election == null
            ? new PeerClient.StopReply(!question.getIncarnation().equals(selfIncarnation), null)
            : election.stopWork(
                question.getIncarnation(), Long.parseLong(question.getArguments(0)), atOnce);
    reply(channel, question, stop.stopped(), stop.acknowledged());
  }

  private void checkHome(@Nullable HomeElection election, Consumer<Boolean> reply) {
    HomeRecord record = election == null ? null : election.record();
    if (election != null && election.isHome()) {
      reply.accept(true);
    } else if (record == null) {
      reply.accept(false);
    } else {
      links
          .apply(record.home().address())
          .checkResponse(MAXIMUM_RESPONSE_AGE, PROBE_TIMEOUT, reply);
    }
  }

  private static void reply(
      MeshChannel channel, MeshQuestion question, boolean yes, @Nullable LogPosition position) {
    MeshReply.Builder reply = MeshReply.newBuilder().setYes(yes);
    if (position != null) {
      reply.setPosition(MeshMessages.encodePosition(position));
    }
    reply(channel, question, reply);
  }

  private static void reply(MeshChannel channel, MeshQuestion question, MeshReply.Builder reply) {
    channel.send(MeshFrame.newBuilder().setReply(reply.setCall(question.getCall())).build());
  }

  private void probeServer(ServerConnector.Target target, Consumer<Boolean> reply) {
    ServerProbe probe = new ServerProbe(reply);
    scheduler.schedule(PROBE_TIMEOUT, () -> probe.finish(false));
    connector.connect(target, probe);
  }

  /** One attempt to get an answer from a server over a connection of its own. */
  private static final class ServerProbe
      implements ServerConnector.Listener, ServerLink.AnswerHandler {
    private final Consumer<Boolean> reply;
    private @Nullable ServerLink link;
    private boolean done;

    ServerProbe(Consumer<Boolean> reply) {
      this.reply = reply;
    }

    @Override
    public void onOpen(ServerLink opened, @Nullable LogPosition position) {
      link = opened;
      if (done) {
        opened.close();
      } else {
        opened.send(new ServerCommand.Status(), this);
      }
    }

    @Override
    public void onFailure(ServerConnector.ConnectFailure failure, String detail) {
      finish(false);
    }

    @Override
    public void onClosed() {
      finish(false);
    }

    @Override
    public void onAnswer(Answer answer) {
      finish(true);
    }

    @Override
    public void onLost() {
      finish(false);
    }

    void finish(boolean reachable) {
      if (done) {
        return;
      }
      done = true;
      if (link != null) {
        link.close();
      }
      reply.accept(reachable);
    }
  }
}
