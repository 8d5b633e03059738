package org.chicorylane.internal.election;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.chicorylane.internal.passthrough.ServerStatus;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.topology.BackendServer;
import org.jspecify.annotations.Nullable;

/**
 * Result of choosing the server to promote, after all other homes were excluded and the replicas
 * were sealed and reported the ends of their logs.
 */
sealed interface PromotionChoice {

  /** Promote the server, whose log holds every acknowledged commit as far as is known. */
  record Promote(BackendServer server, LogPosition received) implements PromotionChoice {}

  /** No promotion is needed: a server already leads a later term. */
  record Leads(String serverId, long term) implements PromotionChoice {}

  /** Order the promotion of a server again that does not answer, to learn whether it runs. */
  record Repeat(String serverId) implements PromotionChoice {}

  /** Wait, because no server is known to hold every acknowledged commit. */
  record Wait(String reason) implements PromotionChoice {}

  /**
   * What a choice rests on.
   *
   * @param servers the servers that have an entry
   * @param missing the ids of further servers that belong to the group but have no entry
   * @param reports the reports of this attempt
   * @param primaryId the recorded primary
   * @param term the recorded term
   * @param bound a position that no acknowledged commit exceeds, null if none is known
   * @param acknowledged the highest position that is known to be acknowledged; there may be others
   * @param order the promotion that was ordered before, null if there is none
   */
  record Basis(
      List<BackendServer> servers,
      Set<String> missing,
      LogReports reports,
      @Nullable String primaryId,
      long term,
      @Nullable LogPosition bound,
      LogPosition acknowledged,
      PromotionOrders.@Nullable State order) {

    boolean isPrimary(BackendServer s) {
      return s.id().equals(primaryId);
    }

    @Nullable ServerStatus reportOf(BackendServer s) {
      return reports.find(s.id());
    }
  }

  /**
   * Chooses the replica with the longest log, or one that is not draining and holds as much as may
   * have been acknowledged. The longest log holds every acknowledged commit if it covers the bound
   * of the acknowledged positions, or the primary's log, or if all servers that may have confirmed
   * a commit have reported.
   *
   * <p>A server whose promotion was ordered before is chosen again: it held every acknowledged
   * commit then, and none can have been acknowledged elsewhere since.
   */
  static PromotionChoice choose(Basis basis) {
    Leads leading = findLeading(basis);
    PromotionOrders.State order = basis.order();
    if (leading != null) {
      return order == null || order.permits(leading.serverId())
          ? leading
          : chooseLeadingAgain(basis, leading, order);
    }
    return order == null ? chooseReplica(basis) : chooseAfterOrder(basis, order);
  }

  /**
   * Promotes a server again that leads, once the order of another one has expired unseen: in its
   * new term it follows on whatever the other one did.
   */
  private static PromotionChoice chooseLeadingAgain(
      Basis basis, Leads leading, PromotionOrders.State order) {
    for (BackendServer s : basis.servers()) {
      if (order.expired() && s.id().equals(leading.serverId())) {
        return promote(basis, s);
      }
    }
    return new Wait("the promotion of " + order.serverId() + " may still take effect");
  }

  private static @Nullable Leads findLeading(Basis basis) {
    Leads leading = null;
    for (BackendServer s : basis.servers()) {
      ServerStatus status = basis.reportOf(s);
      if (status == null || !status.primary() || status.term() <= basis.term()) {
        continue;
      }
      if (leading == null || status.term() > leading.term()) {
        leading = new Leads(s.id(), status.term());
      }
    }
    return leading;
  }

  private static PromotionChoice chooseAfterOrder(Basis basis, PromotionOrders.State order) {
    String ordered = order.serverId();
    for (BackendServer s : basis.servers()) {
      ServerStatus status = basis.reportOf(s);
      boolean isOrdered = s.id().equals(ordered) && !basis.isPrimary(s);
      if (isOrdered && status != null && !status.primary()) {
        return new Promote(s, status.received());
      }
    }
    if (!order.expired()) {
      return order.repeatDue()
          ? new Repeat(ordered)
          : new Wait("the promotion of " + ordered + " may still take effect");
    }
    if (!order.inherited()) {
      return chooseReplica(basis);
    }
    // The ordered server may have led a term of its own. A commit of that term is on another
    // server, which may be the old primary, so each of them must have reported.
    List<BackendServer> others =
        basis.servers().stream().filter(s -> !s.id().equals(ordered)).toList();
    boolean allReported =
        basis.missing().stream().allMatch(ordered::equals)
            && others.stream().allMatch(s -> basis.reportOf(s) != null);
    BackendServer best = longestLog(basis, others);
    return best != null && allReported
        ? promote(basis, best)
        : new Wait("server " + ordered + " or one that follows it may hold acknowledged commits");
  }

  private static PromotionChoice chooseReplica(Basis basis) {
    List<BackendServer> replicas =
        basis.servers().stream().filter(s -> !basis.isPrimary(s)).toList();
    BackendServer best = longestLog(basis, replicas);
    if (best == null) {
      return new Wait("no replica answers");
    }
    LogPosition end = receivedBy(basis, best);
    LogPosition bound = basis.bound();
    LogPosition primaryEnd = primaryLogEnd(basis);
    boolean allReported =
        replicas.stream().allMatch(s -> basis.reportOf(s) != null)
            && basis.missing().stream().allMatch(id -> id.equals(basis.primaryId()));
    boolean holdsAllAcknowledged =
        allReported
            || (bound != null && end.compareTo(bound) >= 0)
            || (primaryEnd != null && end.compareTo(primaryEnd) >= 0);
    if (!holdsAllAcknowledged) {
      return new Wait("a server that may hold acknowledged commits does not answer");
    }
    BackendServer lasting = best.draining() ? longestLasting(basis, replicas, best) : null;
    return promote(basis, lasting == null ? best : lasting);
  }

  /**
   * Returns the replica with the longest log that is not draining and covers the bound; null if
   * there is none. The rest of the longest log was never acknowledged.
   */
  private static @Nullable BackendServer longestLasting(
      Basis basis, List<BackendServer> replicas, BackendServer longest) {
    BackendServer lasting =
        longestLog(basis, replicas.stream().filter(s -> !s.draining()).toList());
    LogPosition bound = basis.bound();
    if (lasting == null || bound == null) {
      return null;
    }
    LogPosition end = receivedBy(basis, lasting);
    boolean sameTerm = end.term() == receivedBy(basis, longest).term();
    return sameTerm && end.compareTo(bound) >= 0 ? lasting : null;
  }

  /**
   * Returns the end of the recorded primary's log, which holds every acknowledged commit; null if
   * it did not report or another server may have led a later term.
   */
  private static @Nullable LogPosition primaryLogEnd(Basis basis) {
    LogPosition end = null;
    for (BackendServer s : basis.servers()) {
      ServerStatus status = basis.reportOf(s);
      if (status != null && status.term() > basis.term()) {
        return null;
      }
      if (status != null && basis.isPrimary(s) && status.primary()) {
        end = status.received().max(basis.acknowledged());
      }
    }
    return end;
  }

  /** Returns the replica with the longest log; of equal ones, one that is not draining. */
  private static @Nullable BackendServer longestLog(Basis basis, List<BackendServer> servers) {
    List<BackendServer> candidates = new ArrayList<>();
    for (BackendServer s : servers) {
      ServerStatus status = basis.reportOf(s);
      if (status != null && !status.primary()) {
        candidates.add(s);
      }
    }
    BackendServer best = null;
    for (BackendServer s : candidates) {
      int byLog = best == null ? 1 : receivedBy(basis, s).compareTo(receivedBy(basis, best));
      if (byLog > 0 || (byLog == 0 && best != null && best.draining() && !s.draining())) {
        best = s;
      }
    }
    return best;
  }

  private static Promote promote(Basis basis, BackendServer server) {
    return new Promote(server, receivedBy(basis, server));
  }

  private static LogPosition receivedBy(Basis basis, BackendServer server) {
    ServerStatus status = basis.reportOf(server);
    return status == null ? LogPosition.ZERO : status.received();
  }
}
