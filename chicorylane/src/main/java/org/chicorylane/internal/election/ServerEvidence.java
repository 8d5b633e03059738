package org.chicorylane.internal.election;

import java.util.List;
import java.util.function.Consumer;
import org.chicorylane.internal.passthrough.ServerConnector;
import org.chicorylane.internal.topology.PeerInstance;
import org.jspecify.annotations.Nullable;

/**
 * Reports of other instances on whether they reach a server that has stopped responding to this
 * one. Requested early, before the server is considered lost; evaluated once it is considered lost
 * and all replies have arrived.
 *
 * <p>Confined to the instance's thread.
 */
final class ServerEvidence {

  /** Maximum number of instances that are asked. */
  private static final int MAX_WITNESSES = 3;

  /**
   * Replies of the witnesses.
   *
   * @param reachedBy an instance that reaches the server, null if none reported that
   * @param notReachedCount the number of instances that do not reach the server
   * @param noWitnesses whether there was no instance to ask
   */
  record Findings(@Nullable PeerInstance reachedBy, int notReachedCount, boolean noWitnesses) {}

  private final String serverId;
  private final long requestedNanos;
  private @Nullable Findings findings;
  private @Nullable Consumer<Findings> onFindings;

  private ServerEvidence(String serverId, long requestedNanos) {
    this.serverId = serverId;
    this.requestedNanos = requestedNanos;
  }

  /** Asks the first {@link #MAX_WITNESSES} of {@code candidates} whether they reach the server. */
  static ServerEvidence ask(
      HomeElection.Context context, List<PeerInstance> candidates, ServerConnector.Target server) {
    ServerEvidence evidence = new ServerEvidence(server.serverId(), context.scheduler().nanoTime());
    List<PeerInstance> witnesses = candidates.stream().limit(MAX_WITNESSES).toList();
    Poll.ask(
        witnesses,
        (peer, reply) -> context.peerClient().probeServer(peer, server, reply),
        (yes, no) -> evidence.onDone(new Findings(yes, no, witnesses.isEmpty())));
    return evidence;
  }

  /** Returns whether this is about server {@code id} and at most {@code maximumAgeNanos} old. */
  boolean isFresh(String id, long nowNanos, long maximumAgeNanos) {
    return id.equals(serverId) && nowNanos - requestedNanos < maximumAgeNanos;
  }

  /** Passes the findings to the callback, immediately or when all replies have arrived. */
  void whenDone(Consumer<Findings> newOnFindings) {
    onFindings = newOnFindings;
    deliverIfDone();
  }

  private void onDone(Findings found) {
    findings = found;
    deliverIfDone();
  }

  private void deliverIfDone() {
    Findings found = findings;
    Consumer<Findings> pendingCallback = onFindings;
    if (found != null && pendingCallback != null) {
      onFindings = null;
      pendingCallback.accept(found);
    }
  }
}
