package org.chicorylane.internal.election;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import org.chicorylane.internal.passthrough.ServerStatus;
import org.chicorylane.internal.runtime.Scheduler;
import org.chicorylane.internal.topology.BackendServer;

/**
 * Checks whether a primary is cut off from its replicas. Queries the end of the primary's log first
 * and the ends of the replicas' logs after a delay, since positions read in another order cannot be
 * compared.
 *
 * <p>Confined to the instance's thread.
 */
final class ReplicationCheck {

  /** Time within which a connected replica receives the primary's log. */
  private static final Duration REPLICATION_DELAY = Duration.ofMillis(150);

  private final Scheduler scheduler;
  private final Map<String, ServerStatus> statuses;
  private final BiConsumer<String, Runnable> queryStatus;
  private boolean running;

  /**
   * Creates a check.
   *
   * @param statuses the last reported status by server id, updated by {@code queryStatus}
   * @param queryStatus queries a server's status and runs the second argument after the answer
   */
  ReplicationCheck(
      Scheduler scheduler,
      Map<String, ServerStatus> statuses,
      BiConsumer<String, Runnable> queryStatus) {
    this.scheduler = scheduler;
    this.statuses = statuses;
    this.queryStatus = queryStatus;
  }

  /**
   * Starts a check, unless one is running.
   *
   * @param confirmingReplicas the number of replicas that must confirm a commit
   * @param onCutOff called if more replicas than {@code confirmingReplicas} reported a log, all of
   *     them ending before the primary's
   */
  void start(
      String primary, List<BackendServer> servers, int confirmingReplicas, Runnable onCutOff) {
    if (running) {
      return;
    }
    running = true;
    scheduler.schedule(REPLICATION_DELAY.multipliedBy(3), () -> running = false);
    statuses.remove(primary);
    queryStatus.accept(
        primary,
        () ->
            scheduler.schedule(
                REPLICATION_DELAY,
                () -> queryReplicas(primary, servers, confirmingReplicas, onCutOff)));
  }

  private void queryReplicas(
      String primary, List<BackendServer> servers, int confirmingReplicas, Runnable onCutOff) {
    for (BackendServer s : servers) {
      if (!s.id().equals(primary)) {
        statuses.remove(s.id());
        queryStatus.accept(s.id(), () -> {});
      }
    }
    scheduler.schedule(
        REPLICATION_DELAY,
        () -> {
          if (isCutOff(primary, servers, confirmingReplicas)) {
            onCutOff.run();
          }
        });
  }

  private boolean isCutOff(String primary, List<BackendServer> servers, int confirmingReplicas) {
    ServerStatus primaryStatus = statuses.get(primary);
    if (primaryStatus == null) {
      return false;
    }
    int replicasBehind = 0;
    for (BackendServer s : servers) {
      ServerStatus status = statuses.get(s.id());
      if (s.id().equals(primary) || status == null) {
        continue;
      }
      replicasBehind++;
      if (status.received().compareTo(primaryStatus.received()) >= 0) {
        return false;
      }
    }
    return replicasBehind > confirmingReplicas;
  }
}
