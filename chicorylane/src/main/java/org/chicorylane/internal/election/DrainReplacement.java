package org.chicorylane.internal.election;

import java.time.Duration;
import java.util.List;
import org.chicorylane.internal.runtime.Scheduler;
import org.chicorylane.internal.topology.BackendServer;
import org.chicorylane.internal.topology.DrainLimit;

/**
 * Decides when a draining primary is to be replaced. Each attempt holds writes back and keeps the
 * replicas from receiving, so the replacement starts once a replica can take over. Shortly before
 * the primary may take no more new work it is attempted anyway, with pauses in which the replicas
 * receive: a replica may hold every acknowledged commit without the rest of the primary's log.
 *
 * <p>Confined to the instance's thread.
 */
final class DrainReplacement {

  /** Remaining time of the primary from which on attempts do not wait for a replica. */
  private static final Duration RESERVE = Duration.ofSeconds(2);

  /** Pause between attempts that do not wait for a replica. */
  private static final Duration RETRY_INTERVAL = Duration.ofSeconds(1);

  /** How much longer than the primary another draining server must remain to replace it. */
  private static final Duration MINIMUM_GAIN = Duration.ofSeconds(2);

  private final Scheduler scheduler;
  private final DrainLimit drainLimit;
  private final CatchUpCheck catchUpCheck;
  private long lastStartNanos;

  /** The primary to which {@link #confirmsCommits} applies. */
  private String primaryId = "";

  private boolean confirmsCommits = true;

  DrainReplacement(Scheduler scheduler, DrainLimit drainLimit, CatchUpCheck catchUpCheck) {
    this.scheduler = scheduler;
    this.drainLimit = drainLimit;
    this.catchUpCheck = catchUpCheck;
    this.lastStartNanos = scheduler.nanoTime() - RETRY_INTERVAL.toNanos();
  }

  /**
   * Returns whether to start replacing the primary now.
   *
   * @param primary the primary, which is draining
   * @param servers the group's servers
   */
  boolean isDue(BackendServer primary, List<BackendServer> servers) {
    List<BackendServer> replicas = replicasOf(primary, servers);
    catchUpCheck.query(primary.id(), replicas);
    boolean isUrgent = drainLimit.remainingNanos(primary) < RESERVE.toNanos();
    List<BackendServer> candidates =
        replicas.stream()
            .filter(s -> !s.draining() || (isUrgent && remainsLonger(s, primary)))
            .toList();
    if (candidates.isEmpty()) {
      return false;
    }
    long sinceLastStart = scheduler.nanoTime() - lastStartNanos;
    return candidates.stream().anyMatch(catchUpCheck::hasCaughtUp)
        || (isUrgent && sinceLastStart >= RETRY_INTERVAL.toNanos());
  }

  private boolean remainsLonger(BackendServer s, BackendServer primary) {
    long gain = drainLimit.remainingNanos(s) - Math.max(0, drainLimit.remainingNanos(primary));
    return gain > MINIMUM_GAIN.toNanos();
  }

  private static List<BackendServer> replicasOf(
      BackendServer primary, List<BackendServer> servers) {
    return servers.stream().filter(s -> !s.id().equals(primary.id())).toList();
  }

  /** Records that a replacement was started. */
  void onStarted() {
    lastStartNanos = scheduler.nanoTime();
  }

  /**
   * Returns whether replicas confirm the primary's commits: not from the moment at which a commit
   * has waited for too long until a replica has caught up. Called after {@link #isDue}.
   *
   * @param isCommitOverdue whether a commit has waited for too long
   */
  boolean confirmsCommits(
      BackendServer primary, List<BackendServer> servers, boolean isCommitOverdue) {
    if (!primary.id().equals(primaryId)) {
      primaryId = primary.id();
      confirmsCommits = true;
    }
    boolean hasReplica = replicasOf(primary, servers).stream().anyMatch(catchUpCheck::hasCaughtUp);
    confirmsCommits = hasReplica || (confirmsCommits && !isCommitOverdue);
    return confirmsCommits;
  }
}
