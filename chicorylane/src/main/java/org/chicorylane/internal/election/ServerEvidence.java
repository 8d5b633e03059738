package org.chicorylane.internal.election;

import java.util.List;
import java.util.function.Consumer;
import org.chicorylane.internal.passthrough.ServerConnector;
import org.chicorylane.internal.topology.PeerInstance;
import org.jspecify.annotations.Nullable;

/**
 * What other instances say about a server that this one does not hear. Asked early, while the
 * server is only quiet; judged once it counts as lost and the answers are in.
 *
 * <p>Confined to the instance's thread.
 */
final class ServerEvidence {

  /** Instances that are asked. */
  private static final int WITNESSES = 3;

  /**
   * What the witnesses said.
   *
   * @param reachedBy an instance that reaches the server, null if none does
   * @param notReached how many do not
   * @param alone whether there was nobody to ask
   */
  record Findings(@Nullable PeerInstance reachedBy, int notReached, boolean alone) {}

  private final String serverId;
  private final long askedNanos;
  private @Nullable Findings findings;
  private @Nullable Consumer<Findings> judge;

  private ServerEvidence(String serverId, long askedNanos) {
    this.serverId = serverId;
    this.askedNanos = askedNanos;
  }

  /** Asks the first of {@code others} whether they reach the server. */
  static ServerEvidence ask(
      HomeElection.Context context, List<PeerInstance> others, ServerConnector.Target server) {
    ServerEvidence evidence = new ServerEvidence(server.serverId(), context.scheduler().nanoTime());
    List<PeerInstance> witnesses = others.stream().limit(WITNESSES).toList();
    Poll.ask(
        witnesses,
        (peer, verdict) -> context.peerClient().probeServer(peer, server, verdict),
        (yes, no) -> evidence.onDone(new Findings(yes, no, witnesses.isEmpty())));
    return evidence;
  }

  /** Returns whether it is about {@code id} and was asked for within {@code maximumAgeNanos}. */
  boolean isFresh(String id, long nowNanos, long maximumAgeNanos) {
    return id.equals(serverId) && nowNanos - askedNanos < maximumAgeNanos;
  }

  /** Hands the findings over, at once or when they are in. */
  void whenDone(Consumer<Findings> newJudge) {
    judge = newJudge;
    judgeIfDone();
  }

  private void onDone(Findings found) {
    findings = found;
    judgeIfDone();
  }

  private void judgeIfDone() {
    Findings found = findings;
    Consumer<Findings> waiting = judge;
    if (found != null && waiting != null) {
      judge = null;
      waiting.accept(found);
    }
  }
}
