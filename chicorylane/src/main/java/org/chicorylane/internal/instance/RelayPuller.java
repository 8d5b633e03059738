package org.chicorylane.internal.instance;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.chicorylane.internal.dissemination.DeclarationPuller;
import org.chicorylane.internal.dissemination.DeclarationSnapshot;
import org.chicorylane.internal.membership.Member;
import org.chicorylane.internal.relay.PeerAddress;
import org.chicorylane.internal.relay.RelayClient;
import org.chicorylane.internal.relay.RelayResult;
import org.chicorylane.internal.relay.generated.DeclarationsMessage;
import org.chicorylane.internal.relay.generated.PullDeclarationsMessage;
import org.chicorylane.internal.relay.generated.RelayFrame;

/** Pulls declarations from other instances over the relay. Thread-safe. */
final class RelayPuller implements DeclarationPuller {
  private static final Duration TIMEOUT = Duration.ofSeconds(1);

  private final RelayClient peers;

  RelayPuller(RelayClient peers) {
    this.peers = peers;
  }

  @Override
  public CompletableFuture<Optional<DeclarationSnapshot>> pull(Member peer, long revision) {
    PeerAddress address =
        new PeerAddress(peer.instanceId(), peer.host(), peer.relayPort(), peer.availabilityZone());
    RelayFrame.Builder request =
        RelayFrame.newBuilder().setPull(PullDeclarationsMessage.newBuilder().setRevision(revision));
    return peers.ask(address, request, TIMEOUT).thenApply(RelayPuller::snapshot);
  }

  private static Optional<DeclarationSnapshot> snapshot(RelayResult result) {
    if (result instanceof RelayResult.Answered a && a.frame().hasDeclarations()) {
      DeclarationsMessage m = a.frame().getDeclarations();
      return Optional.of(new DeclarationSnapshot(m.getRevision(), m.getDocumentsList()));
    }
    return Optional.empty();
  }
}
