package org.chicorylane.internal.relay;

import java.util.concurrent.CompletableFuture;
import org.chicorylane.internal.outcome.Outcome;
import org.chicorylane.internal.relay.generated.DeclarationsMessage;

/**
 * Answers the questions of other instances.
 *
 * <p>Called on event loops, so implementations must not block. Returned futures must complete
 * normally.
 */
public interface RelayHandler {

  /** Serves a request to a group whose home, as far as the sender can tell, is this instance. */
  CompletableFuture<Outcome> onRequest(GroupRequest request);

  /** Probes a backend server over a separate connection and returns the result. */
  CompletableFuture<ProbeResult> onProbe(String group, String server);

  /**
   * Returns the declarations in force, or an empty message if none are newer than {@code revision}.
   */
  DeclarationsMessage onPull(long revision);

  /** Becomes the home of {@code group}, which the sender has given up. */
  void onTakeHome(String group);
}
