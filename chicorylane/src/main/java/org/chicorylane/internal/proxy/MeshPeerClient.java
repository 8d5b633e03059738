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

/**
 * Asks other instances over the mesh.
 *
 * <p>Confined to the instance's thread.
 */
final class MeshPeerClient implements PeerClient {

  /**
   * Timeout of all questions except a takeover. The peer answers from its own state, or after one
   * short probe of a server.
   */
  private static final Duration TIMEOUT = Duration.ofMillis(500);

  /** Timeout of a takeover, for which the peer asks other instances or the store. */
  private static final Duration TAKEOVER_TIMEOUT = Duration.ofMillis(900);

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
      PeerInstance peer, ServerConnector.Target server, Consumer<PeerReply> handler) {
    MeshQuestion.Builder question =
        question(PeerQuestion.PROBE_SERVER, server.group())
            .setServerId(server.serverId())
            .setAddress(server.address());
    ask(peer.address(), question, TIMEOUT, handler);
  }

  @Override
  public void probeHome(PeerInstance peer, String group, Consumer<PeerReply> handler) {
    ask(peer.address(), question(PeerQuestion.HEARS_HOME, group), TIMEOUT, handler);
  }

  @Override
  public void requestTakeover(PeerInstance peer, String group, Consumer<PeerReply> handler) {
    ask(peer.address(), question(PeerQuestion.TAKE_HOME, group), TAKEOVER_TIMEOUT, handler);
  }

  @Override
  public void requestStop(
      String group,
      HomeRecord.Holder earlier,
      long revision,
      boolean atOnce,
      Consumer<StopReply> handler) {
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
            (reply, sent) -> {
              LogPosition position =
                  reply == null || !reply.hasPosition()
                      ? null
                      : new LogPosition(
                          reply.getPosition().getTerm(), reply.getPosition().getNumber());
              handler.accept(new StopReply(reply != null && reply.getYes(), position));
            });
  }

  private static MeshQuestion.Builder question(PeerQuestion kind, String group) {
    return MeshQuestion.newBuilder().setKind(PeerQuestion.NUMBERS.number(kind)).setGroup(group);
  }

  private void ask(
      String address,
      MeshQuestion.Builder question,
      Duration timeout,
      Consumer<PeerReply> handler) {
    links
        .apply(address)
        .ask(
            question,
            timeout,
            (reply, sent) -> {
              if (reply == null) {
                handler.accept(PeerReply.UNKNOWN);
              } else {
                handler.accept(reply.getYes() ? PeerReply.YES : PeerReply.NO);
              }
            });
  }
}
