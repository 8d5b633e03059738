package org.chicorylane.internal.election;

import java.util.List;
import java.util.Map;
import org.chicorylane.internal.passthrough.ServerStatus;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.topology.BackendServer;
import org.jspecify.annotations.Nullable;

/**
 * Which server is to be promoted, after the replicas stopped receiving and told their logs' ends.
 */
sealed interface PromotionChoice {

  /** The replica with the longest log; it holds every acknowledged commit. */
  record Promote(BackendServer server, LogPosition received) implements PromotionChoice {}

  /** A server leads a later term already. */
  record Leads(String serverId, long term) implements PromotionChoice {}

  /** No server is known to hold every acknowledged commit. */
  record Wait(String reason) implements PromotionChoice {}

  /**
   * Chooses among the servers without the present primary. The furthest is taken if all have told,
   * or if it covers all that is known to be acknowledged, or where that is not known, all that the
   * primary had after its writes were held back.
   *
   * @param statuses what servers told
   * @param term the present term
   * @param acknowledged the highest acknowledged position, null if it is not known
   * @param primaryReceived the end of the present primary's log, null if it did not tell
   */
  static PromotionChoice choose(
      List<BackendServer> servers,
      Map<String, ServerStatus> statuses,
      @Nullable String primaryId,
      long term,
      @Nullable LogPosition acknowledged,
      @Nullable LogPosition primaryReceived) {
    BackendServer best = null;
    LogPosition furthest = LogPosition.ZERO;
    boolean allTold = true;
    for (BackendServer s : servers) {
      if (s.id().equals(primaryId)) {
        continue;
      }
      ServerStatus status = statuses.get(s.id());
      if (status == null) {
        allTold = false;
        continue;
      }
      if (status.primary() && status.term() > term) {
        return new Leads(s.id(), status.term());
      }
      if (status.primary() && status.term() == term) {
        // It took the primary's place; to promote it would change nothing.
        continue;
      }
      boolean further = status.received().compareTo(furthest) > 0;
      boolean staysLonger =
          status.received().equals(furthest) && best != null && best.draining() && !s.draining();
      if (best == null || further || staysLonger) {
        best = s;
        furthest = status.received();
      }
    }
    if (best == null) {
      return new Wait("no replica answers");
    }
    LogPosition needed = acknowledged == null ? primaryReceived : acknowledged;
    boolean complete = allTold || (needed != null && furthest.compareTo(needed) >= 0);
    return complete
        ? new Promote(best, furthest)
        : new Wait("a replica that may hold acknowledged commits does not answer");
  }
}
