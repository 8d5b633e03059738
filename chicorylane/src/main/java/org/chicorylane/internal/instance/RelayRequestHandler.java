package org.chicorylane.internal.instance;

import java.util.concurrent.CompletableFuture;
import org.chicorylane.internal.dissemination.DeclarationSnapshot;
import org.chicorylane.internal.home.HomeRegistry;
import org.chicorylane.internal.outcome.Outcome;
import org.chicorylane.internal.relay.GroupRequest;
import org.chicorylane.internal.relay.ProbeResult;
import org.chicorylane.internal.relay.RelayHandler;
import org.chicorylane.internal.relay.generated.DeclarationsMessage;

/**
 * Handles requests that other instances send over the relay: statements for groups whose home is
 * here, server probes, declaration pulls and home takeovers. Requests that need the homes wait
 * until {@link #start}. Thread-safe.
 */
final class RelayRequestHandler implements RelayHandler {
  private final CompletableFuture<HomeRegistry> homes = new CompletableFuture<>();
  private volatile DeclarationsMessage declarations = DeclarationsMessage.getDefaultInstance();

  /** Starts handling requests, including those that arrived earlier. */
  void start(HomeRegistry registry) {
    homes.complete(registry);
  }

  /** Sets the declarations that {@link #onPull} returns. */
  void publish(DeclarationSnapshot snapshot) {
    declarations =
        DeclarationsMessage.newBuilder()
            .setRevision(snapshot.revision())
            .addAllDocuments(snapshot.documents())
            .build();
  }

  @Override
  public CompletableFuture<Outcome> onRequest(GroupRequest request) {
    return homes.thenCompose(h -> h.submit(request));
  }

  @Override
  public CompletableFuture<ProbeResult> onProbe(String group, String server) {
    return homes.thenCompose(h -> h.probe(group, server));
  }

  @Override
  public DeclarationsMessage onPull(long revision) {
    DeclarationsMessage current = declarations;
    return current.getRevision() > revision ? current : DeclarationsMessage.getDefaultInstance();
  }

  @Override
  public void onTakeHome(String group) {
    homes.thenAccept(h -> h.takeHome(group, "another instance"));
  }
}
