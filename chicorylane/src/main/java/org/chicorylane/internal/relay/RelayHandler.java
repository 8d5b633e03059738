package org.chicorylane.internal.relay;

import java.util.concurrent.CompletableFuture;
import org.chicorylane.internal.outcome.Outcome;
import org.chicorylane.internal.relay.generated.DeclarationsMessage;

/**
 * What an instance does for other instances.
 *
 * <p>Called on relay threads: implementations must not block. Futures complete normally.
 */
public interface RelayHandler {

  /** Serves a request to a group that the asker believes to be homed here. */
  CompletableFuture<Outcome> onRequest(GroupRequest request);

  /** Probes a backend server over a connection of its own and tells what it saw. */
  CompletableFuture<ProbeResult> onProbe(String group, String server);

  /** Returns the declarations in force here, empty if they are not newer than {@code revision}. */
  DeclarationsMessage onPull(long revision);

  /** Takes over the home of {@code group}, which the sender has given up. */
  void onTakeHome(String group);
}
