package org.chicorylane.internal.election;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import org.chicorylane.internal.passthrough.ServerStatus;
import org.chicorylane.internal.runtime.Scheduler;
import org.chicorylane.internal.topology.BackendServer;

/**
 * Finds out whether a primary is cut off from its replicas: asks it for the end of its log and the
 * replicas, a while later, for theirs. Logs that were read at other times would not compare.
 *
 * <p>Confined to the instance's thread.
 */
final class ReplicationCheck {

  /** Time in which a replica that is connected receives what the primary has. */
  private static final Duration REPLICATION_CHECK = Duration.ofMillis(150);

  private final Scheduler scheduler;
  private final Map<String, ServerStatus> statuses;
  private final BiConsumer<String, Runnable> askStatus;
  private boolean running;

  /**
   * Creates a check.
   *
   * @param statuses what servers last told, filled by {@code askStatus}
   * @param askStatus asks a server for its status and runs the second argument after the answer
   */
  ReplicationCheck(
      Scheduler scheduler,
      Map<String, ServerStatus> statuses,
      BiConsumer<String, Runnable> askStatus) {
    this.scheduler = scheduler;
    this.statuses = statuses;
    this.askStatus = askStatus;
  }

  /**
   * Begins a check, unless one is running.
   *
   * @param confirming replicas that confirm a commit
   * @param onCut told if more than that many replicas tell that they lack what the primary has
   */
  void begin(String primary, List<BackendServer> servers, int confirming, Runnable onCut) {
    if (running) {
      return;
    }
    running = true;
    scheduler.schedule(REPLICATION_CHECK.multipliedBy(3), () -> running = false);
    statuses.remove(primary);
    askStatus.accept(
        primary,
        () ->
            scheduler.schedule(
                REPLICATION_CHECK, () -> askReplicas(primary, servers, confirming, onCut)));
  }

  private void askReplicas(
      String primary, List<BackendServer> servers, int confirming, Runnable onCut) {
    for (BackendServer s : servers) {
      if (!s.id().equals(primary)) {
        statuses.remove(s.id());
        askStatus.accept(s.id(), () -> {});
      }
    }
    scheduler.schedule(
        REPLICATION_CHECK,
        () -> {
          if (isCut(primary, servers, confirming)) {
            onCut.run();
          }
        });
  }

  private boolean isCut(String primary, List<BackendServer> servers, int confirming) {
    ServerStatus lead = statuses.get(primary);
    if (lead == null) {
      return false;
    }
    int behind = 0;
    for (BackendServer s : servers) {
      ServerStatus status = statuses.get(s.id());
      if (s.id().equals(primary) || status == null) {
        continue;
      }
      behind++;
      if (status.received().compareTo(lead.received()) >= 0) {
        return false;
      }
    }
    return behind > confirming;
  }
}
