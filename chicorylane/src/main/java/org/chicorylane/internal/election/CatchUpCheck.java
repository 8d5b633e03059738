package org.chicorylane.internal.election;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import org.chicorylane.internal.passthrough.ServerStatus;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.runtime.Scheduler;
import org.chicorylane.internal.topology.BackendServer;
import org.jspecify.annotations.Nullable;

/**
 * Finds out whether a replica receives the log of a working primary, so that it can take over as
 * soon as writes are held back. Asks the servers for their status while it is used.
 *
 * <p>Confined to the instance's thread.
 */
final class CatchUpCheck {

  private static final Duration QUERY_INTERVAL = Duration.ofMillis(100);

  private final Scheduler scheduler;
  private final Map<String, ServerStatus> statuses;
  private final BiConsumer<String, Runnable> queryStatus;
  private String primaryId = "";
  private long lastQueryNanos;

  /** End of the primary's log as of the last query, and of the one before; null until known. */
  private @Nullable LogPosition logEnd;

  private @Nullable LogPosition earlierLogEnd;

  /**
   * Creates a check.
   *
   * @param statuses the servers' last known statuses, updated by {@code queryStatus}
   * @param queryStatus requests a server's status and runs the action after the answer
   */
  CatchUpCheck(
      Scheduler scheduler,
      Map<String, ServerStatus> statuses,
      BiConsumer<String, Runnable> queryStatus) {
    this.scheduler = scheduler;
    this.statuses = statuses;
    this.queryStatus = queryStatus;
  }

  /** Asks the primary and its replicas for their status, unless the last query is recent. */
  void query(String primary, List<BackendServer> replicas) {
    long now = scheduler.nanoTime();
    boolean isOther = !primary.equals(primaryId);
    if (isOther) {
      primaryId = primary;
      logEnd = null;
      earlierLogEnd = null;
    }
    if (isOther || now - lastQueryNanos > QUERY_INTERVAL.toNanos()) {
      lastQueryNanos = now;
      queryStatus.accept(primary, () -> noteLogEnd(primary));
      replicas.forEach(s -> queryStatus.accept(s.id(), () -> {}));
    }
  }

  /**
   * Returns whether a replica holds the primary's log up to where it ended a moment ago. Returns
   * false until the servers have answered.
   */
  boolean hasCaughtUp(BackendServer replica) {
    ServerStatus status = statuses.get(replica.id());
    LogPosition required = earlierLogEnd == null ? logEnd : earlierLogEnd;
    return required != null
        && status != null
        && !status.primary()
        && status.received().compareTo(required) >= 0;
  }

  private void noteLogEnd(String primary) {
    ServerStatus status = statuses.get(primary);
    if (primary.equals(primaryId) && status != null && status.primary()) {
      earlierLogEnd = logEnd;
      logEnd = status.received();
    }
  }
}
