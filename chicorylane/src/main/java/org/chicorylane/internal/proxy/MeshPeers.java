package org.chicorylane.internal.proxy;

import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Function;
import org.chicorylane.internal.mesh.PeerLink;
import org.chicorylane.internal.mesh.generated.MeshQuestion;
import org.chicorylane.internal.passthrough.ServerConnector;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.tenure.HomeRecord;
import org.chicorylane.internal.tenure.Peers;
import org.chicorylane.internal.topology.PeerInstance;

/** Asks other instances over the mesh. */
final class MeshPeers implements Peers {

  /** Time for a question that the peer answers from what it knows. */
  private static final Duration TIMEOUT = Duration.ofMillis(500);

  /** Time for a question for which the peer asks others or the store. */
  private static final Duration LONG_TIMEOUT = Duration.ofMillis(900);

  private final InstanceRegistry registry;
  private final Function<String, PeerLink> links;

  MeshPeers(InstanceRegistry registry, Function<String, PeerLink> links) {
    this.registry = registry;
    this.links = links;
  }

  @Override
  public List<PeerInstance> instances() {
    return registry.instances();
  }

  @Override
  public void probe(PeerInstance peer, ServerConnector.Target server, Consumer<Verdict> verdict) {
    MeshQuestion.Builder question =
        question(PeerQuestion.PROBE_SERVER, server.group())
            .setServerId(server.serverId())
            .setAddress(server.address());
    ask(peer.address(), question, TIMEOUT, verdict);
  }

  @Override
  public void hearsHome(PeerInstance peer, String group, Consumer<Verdict> verdict) {
    ask(peer.address(), question(PeerQuestion.HEARS_HOME, group), TIMEOUT, verdict);
  }

  @Override
  public void takeHome(PeerInstance peer, String group, Consumer<Verdict> verdict) {
    ask(peer.address(), question(PeerQuestion.TAKE_HOME, group), LONG_TIMEOUT, verdict);
  }

  @Override
  public void stopHome(
      String group,
      HomeRecord.Holder earlier,
      long revision,
      boolean atOnce,
      Consumer<Stop> outcome) {
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
              outcome.accept(new Stop(refused || (reply != null && reply.getYes()), position));
            });
  }

  private static MeshQuestion.Builder question(PeerQuestion kind, String group) {
    return MeshQuestion.newBuilder().setKind(PeerQuestion.NUMBERS.number(kind)).setGroup(group);
  }

  private void ask(
      String address, MeshQuestion.Builder question, Duration timeout, Consumer<Verdict> verdict) {
    links
        .apply(address)
        .ask(
            question,
            timeout,
            (reply, refused) -> {
              if (reply == null) {
                verdict.accept(Verdict.UNKNOWN);
              } else {
                verdict.accept(reply.getYes() ? Verdict.YES : Verdict.NO);
              }
            });
  }
}
