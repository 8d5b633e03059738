package org.chicorylane.internal.proxy;

import java.time.Duration;
import java.util.Collection;
import java.util.function.Consumer;
import java.util.function.Function;
import org.chicorylane.internal.election.HomeElection;
import org.chicorylane.internal.election.HomeRecord;
import org.chicorylane.internal.mesh.MeshChannel;
import org.chicorylane.internal.mesh.MeshMessages;
import org.chicorylane.internal.mesh.NettyMeshTransport;
import org.chicorylane.internal.mesh.PeerLink;
import org.chicorylane.internal.mesh.generated.MeshFrame;
import org.chicorylane.internal.mesh.generated.MeshPing;
import org.chicorylane.internal.mesh.generated.MeshQuestion;
import org.chicorylane.internal.mesh.generated.MeshReply;
import org.chicorylane.internal.mesh.generated.MeshWork;
import org.chicorylane.internal.passthrough.Answer;
import org.chicorylane.internal.passthrough.ServerCommand;
import org.chicorylane.internal.passthrough.ServerConnector;
import org.chicorylane.internal.passthrough.ServerLink;
import org.chicorylane.internal.platform.KeyValueStore;
import org.chicorylane.internal.pool.WorkHandler;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.runtime.Scheduler;
import org.jspecify.annotations.Nullable;

/** Answers what other instances send: statements for homes, questions, heartbeats. */
final class MeshService implements NettyMeshTransport.MeshAcceptor {

  /** Time within which a probed server must answer; less than the asker's patience. */
  private static final Duration PROBE_TIMEOUT = Duration.ofMillis(350);

  /** Age up to which a home counts as heard. */
  private static final Duration HEARD_AGE = Duration.ofMillis(700);

  private final Scheduler scheduler;
  private final ServerConnector connector;
  private final Function<String, @Nullable HomeElection> elections;
  private final Collection<HomeElection> allElections;
  private final Function<String, PeerLink> links;
  private final ConfigurationKeeper configuration;
  private final KeyValueStore store;

  MeshService(
      Scheduler scheduler,
      ServerConnector connector,
      Function<String, @Nullable HomeElection> elections,
      Collection<HomeElection> allElections,
      Function<String, PeerLink> links,
      ConfigurationKeeper configuration,
      KeyValueStore store) {
    this.store = store;
    this.scheduler = scheduler;
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
        if (election != null) {
          election.abandon(channel, frame.getAbandon().getTransaction());
        }
      }
      case CONFIGURATION -> configuration.onText(frame.getConfiguration().getText(), "a peer");
      case QUESTION -> onQuestion(channel, frame.getQuestion());
      default -> {
        // The other kinds of frame only come in the other direction.
      }
    }
  }

  @Override
  public void onClosed(MeshChannel channel) {
    allElections.forEach(t -> t.abandonAll(channel));
  }

  private void onWork(MeshChannel channel, MeshWork work) {
    HomeElection election = elections.apply(work.getGroup());
    if (election == null) {
      channel.send(MeshMessages.notHomeFrame(work.getCall()));
      return;
    }
    election.submit(
        channel,
        MeshMessages.decodeWork(work),
        new WorkHandler() {
          @Override
          public void onAnswer(Answer answer) {
            channel.send(MeshMessages.answerFrame(work.getCall(), answer));
          }

          @Override
          public void onNotHome() {
            channel.send(MeshMessages.notHomeFrame(work.getCall()));
          }
        });
  }

  private void onPing(MeshChannel channel, MeshPing ping) {
    channel.send(MeshMessages.pongFrame(ping.getSequence(), configuration.version()));
    if (ping.getConfigurationVersion() < configuration.version()) {
      channel.send(MeshMessages.configurationFrame(configuration.text()));
    }
  }

  private void onQuestion(MeshChannel channel, MeshQuestion question) {
    HomeElection election = elections.apply(question.getGroup());
    Consumer<Boolean> reply = yes -> reply(channel, question, yes, null);
    switch (PeerQuestion.NUMBERS.constant(question.getKind())) {
      case PROBE_SERVER ->
          probe(
              new ServerConnector.Target(
                  question.getGroup(), question.getServerId(), question.getAddress()),
              reply);
      case HEARS_HOME -> reply.accept(election != null && hearsHome(election));
      case TAKE_HOME -> {
        if (election == null) {
          reply.accept(false);
        } else {
          election.takeOver(reply);
        }
      }
      case STORE_RANGE ->
          store
              .range(question.getArguments(0))
              .thenAccept(r -> reply(channel, question, StoreMessages.reply(r)));
      case STORE_TRANSACT ->
          store
              .transact(StoreMessages.transaction(question))
              .thenAccept(r -> reply(channel, question, StoreMessages.reply(r)));
      case STOP_HOME -> stopHome(channel, question, election, true);
      default -> stopHome(channel, question, election, false);
    }
  }

  private static void stopHome(
      MeshChannel channel, MeshQuestion question, @Nullable HomeElection election, boolean atOnce) {
    LogPosition acknowledged =
        election == null
            ? LogPosition.ZERO
            : election.stopWork(
                question.getIncarnation(), Long.parseLong(question.getArguments(0)), atOnce);
    reply(channel, question, acknowledged != null, acknowledged);
  }

  private boolean hearsHome(HomeElection election) {
    HomeRecord record = election.record();
    return election.isHome()
        || (record != null && links.apply(record.home().address()).heardWithin(HEARD_AGE));
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

  private void probe(ServerConnector.Target target, Consumer<Boolean> reply) {
    Probe probe = new Probe(reply);
    scheduler.schedule(PROBE_TIMEOUT, () -> probe.finish(false));
    connector.connect(target, probe);
  }

  /** One attempt to get an answer from a server. */
  private static final class Probe implements ServerConnector.Listener, ServerLink.AnswerHandler {
    private final Consumer<Boolean> reply;
    private @Nullable ServerLink link;
    private boolean done;

    Probe(Consumer<Boolean> reply) {
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

    void finish(boolean reached) {
      if (done) {
        return;
      }
      done = true;
      if (link != null) {
        link.close();
      }
      reply.accept(reached);
    }
  }
}
