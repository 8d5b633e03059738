package org.chicorylane.internal.election;

import java.util.List;
import java.util.Map;
import org.chicorylane.internal.passthrough.ServerStatus;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.topology.BackendServer;
import org.jspecify.annotations.Nullable;

/**
 * Result of choosing the server to promote, after the replicas were sealed and reported the ends of
 * their logs.
 */
sealed interface PromotionChoice {

  /** Promote the replica with the longest log, which holds every acknowledged commit. */
  record Promote(BackendServer server, LogPosition received) implements PromotionChoice {}

  /** No promotion is needed: a server already leads a later term. */
  record Leads(String serverId, long term) implements PromotionChoice {}

  /** Wait, because no server is known to hold every acknowledged commit. */
  record Wait(String reason) implements PromotionChoice {}

  /**
   * Chooses among all servers except the current primary. The replica with the longest log is
   * chosen if all replicas have reported their status, or if its log covers the highest
   * acknowledged position. If that position is not known, its log must cover the primary's log as
   * it was after the primary's writes were held back.
   *
   * @param statuses the last reported status by server id
   * @param term the current term
   * @param acknowledged the highest acknowledged position, null if it is not known
   * @param primaryReceived the end of the current primary's log, null if it did not report one
   */
  static PromotionChoice choose(
      List<BackendServer> servers,
      Map<String, ServerStatus> statuses,
      @Nullable String primaryId,
      long term,
      @Nullable LogPosition acknowledged,
      @Nullable LogPosition primaryReceived) {
    BackendServer best = null;
    LogPosition furthestPosition = LogPosition.ZERO;
    boolean allReported = true;
    for (BackendServer s : servers) {
      if (s.id().equals(primaryId)) {
        continue;
      }
      ServerStatus status = statuses.get(s.id());
      if (status == null) {
        allReported = false;
        continue;
      }
      if (status.primary() && status.term() > term) {
        return new Leads(s.id(), status.term());
      }
      if (status.primary() && status.term() == term) {
        // It has replaced the primary in the same term; promoting it would have no effect.
        continue;
      }
      boolean hasLongerLog = status.received().compareTo(furthestPosition) > 0;
      boolean isPreferredForEqualLog =
          status.received().equals(furthestPosition)
              && best != null
              && best.draining()
              && !s.draining();
      if (best == null || hasLongerLog || isPreferredForEqualLog) {
        best = s;
        furthestPosition = status.received();
      }
    }
    if (best == null) {
      return new Wait("no replica answers");
    }
    LogPosition requiredPosition = acknowledged == null ? primaryReceived : acknowledged;
    boolean holdsAllAcknowledged =
        allReported
            || (requiredPosition != null && furthestPosition.compareTo(requiredPosition) >= 0);
    return holdsAllAcknowledged
        ? new Promote(best, furthestPosition)
        : new Wait("a replica that may hold acknowledged commits does not answer");
  }
}
