package org.chicorylane.internal.proxy;

import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Function;
import org.chicorylane.internal.election.HomeRecord;
import org.chicorylane.internal.election.PeerClient;
import org.chicorylane.internal.mesh.PeerLink;
import org.chicorylane.internal.mesh.generated.MeshQuestion;
import org.chicorylane.internal.passthrough.ServerConnector;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.topology.PeerInstance;

/** Asks other instances over the mesh. */
final class MeshPeerClient implements PeerClient {

  /** Time for a question that the peer answers from what it knows. */
  private static final Duration TIMEOUT = Duration.ofMillis(500);

  /** Time for a question for which the peer asks others or the store. */
  private static final Duration LONG_TIMEOUT = Duration.ofMillis(900);

  private final InstanceRegistry registry;
  private final Function<String, PeerLink> links;

  MeshPeerClient(InstanceRegistry registry, Function<String, PeerLink> links) {
    this.registry = registry;
    this.links = links;
  }

  @Override
  public List<PeerInstance> instances() {
    return registry.instances();
  }

  @Override
  public void probeServer(
      PeerInstance peer, ServerConnector.Target server, Consumer<PeerReply> verdict) {
    MeshQuestion.Builder question =
        question(PeerQuestion.PROBE_SERVER, server.group())
            .setServerId(server.serverId())
            .setAddress(server.address());
    ask(peer.address(), question, TIMEOUT, verdict);
  }

  @Override
  public void probeHome(PeerInstance peer, String group, Consumer<PeerReply> verdict) {
    ask(peer.address(), question(PeerQuestion.HEARS_HOME, group), TIMEOUT, verdict);
  }

  @Override
  public void requestTakeover(PeerInstance peer, String group, Consumer<PeerReply> verdict) {
    ask(peer.address(), question(PeerQuestion.TAKE_HOME, group), LONG_TIMEOUT, verdict);
  }

  @Override
  public void requestStop(
      String group,
      HomeRecord.Holder earlier,
      long revision,
      boolean atOnce,
      Consumer<StopReply> outcome) {
    MeshQuestion.Builder question =
        question(atOnce ? PeerQuestion.STOP_HOME : PeerQuestion.END_HOME, group)
            .setInstance(earlier.name())
            .setIncarnation(earlier.incarnation())
            .addArguments(Long.toString(revision));
    links
        .apply(earlier.address())
        .ask(
            question,
            TIMEOUT,
            (reply, refused) -> {
              LogPosition position =
                  reply == null || !reply.hasPosition()
                      ? LogPosition.ZERO
                      : new LogPosition(
                          reply.getPosition().getTerm(), reply.getPosition().getNumber());
              outcome.accept(new StopReply(refused || (reply != null && reply.getYes()), position));
            });
  }

  private static MeshQuestion.Builder question(PeerQuestion kind, String group) {
    return MeshQuestion.newBuilder().setKind(PeerQuestion.NUMBERS.number(kind)).setGroup(group);
  }

  private void ask(
      String address,
      MeshQuestion.Builder question,
      Duration timeout,
      Consumer<PeerReply> verdict) {
    links
        .apply(address)
        .ask(
            question,
            timeout,
            (reply, refused) -> {
              if (reply == null) {
                verdict.accept(PeerReply.UNKNOWN);
              } else {
                verdict.accept(reply.getYes() ? PeerReply.YES : PeerReply.NO);
              }
            });
  }
}
