package org.chicorylane.internal.home;

import io.netty.util.concurrent.EventExecutor;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.chicorylane.internal.failover.HomeEvent;
import org.chicorylane.internal.failover.ServerReachability;
import org.chicorylane.internal.relay.PeerAddress;
import org.chicorylane.internal.relay.RelayResult;
import org.chicorylane.internal.relay.generated.ProbeServerMessage;
import org.chicorylane.internal.relay.generated.RelayFrame;

/**
 * Asks other instances whether they can reach a backend server, as evidence for or against a
 * suspected failure.
 *
 * <p>Used on the group's executor only.
 */
final class EvidenceCollector {
  private static final int MAX_PEERS = 3;

  /** Longer than the peer's own probe takes at most, so that its answer can arrive. */
  private static final Duration ANSWER_TIMEOUT = ServerProbe.TIMEOUT.plusMillis(150);

  private final HomeEnvironment environment;
  private final EventExecutor executor;
  private final String group;
  private final Consumer<HomeEvent> eventSink;

  EvidenceCollector(
      HomeEnvironment environment,
      EventExecutor executor,
      String group,
      Consumer<HomeEvent> eventSink) {
    this.environment = environment;
    this.executor = executor;
    this.group = group;
    this.eventSink = eventSink;
  }

  /**
   * Asks up to {@value #MAX_PEERS} instances, those in other availability zones first. Emits one
   * event per answer and one when all have answered or timed out.
   */
  void ask(String server, long round) {
    List<PeerAddress> peers = peersOfOtherZonesFirst();
    CompletableFuture<?>[] answers =
        peers.stream().map(p -> askPeer(p, server, round)).toArray(CompletableFuture[]::new);
    CompletableFuture.allOf(answers)
        .thenRunAsync(
            () -> eventSink.accept(new HomeEvent.EvidenceEnded(server, round, peers.size())),
            executor);
  }

  private List<PeerAddress> peersOfOtherZonesFirst() {
    String ownZone = environment.fleet().self().availabilityZone();
    Comparator<PeerAddress> otherZoneFirst =
        Comparator.comparing(p -> p.availabilityZone().equals(ownZone));
    return environment.fleet().others().stream()
        .sorted(otherZoneFirst.thenComparing(PeerAddress::instance))
        .limit(MAX_PEERS)
        .toList();
  }

  private CompletableFuture<Void> askPeer(PeerAddress peer, String server, long round) {
    ProbeServerMessage probe =
        ProbeServerMessage.newBuilder().setGroup(group).setServer(server).build();
    return environment
        .peers()
        .ask(peer, RelayFrame.newBuilder().setProbe(probe), ANSWER_TIMEOUT)
        .thenAcceptAsync(r -> eventSink.accept(toEvidence(peer, server, round, r)), executor);
  }

  private static HomeEvent toEvidence(
      PeerAddress peer, String server, long round, RelayResult result) {
    if (result instanceof RelayResult.Answered a && a.frame().hasProbeAnswer()) {
      boolean reachable = a.frame().getProbeAnswer().getReachable();
      return new HomeEvent.EvidenceAnswered(
          server,
          round,
          peer.instance(),
          reachable ? ServerReachability.REACHABLE : ServerReachability.UNREACHABLE,
          a.frame().getProbeAnswer().getTerm());
    }
    return new HomeEvent.EvidenceAnswered(
        server, round, peer.instance(), ServerReachability.NO_ANSWER, 0);
  }
}
