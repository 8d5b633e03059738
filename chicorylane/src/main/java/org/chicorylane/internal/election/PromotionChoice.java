package org.chicorylane.internal.election;

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

  /** Promote a server whose log holds every acknowledged commit. */
  record Promote(LogCoverage.Holder holder) implements PromotionChoice {

    BackendServer server() {
      return holder.server();
    }

    LogPosition received() {
      return holder.logEnd();
    }
  }

  /** No promotion is needed: a server already leads a later term. */
  record Leads(String serverId, long term) implements PromotionChoice {}

  /** Order the promotion of a server again that does not answer, to learn whether it runs. */
  record Repeat(String serverId) implements PromotionChoice {}

  /**
   * Let the replicas receive before the next attempt: a server leads the recorded term whose log no
   * replica holds, and unless the home returns to it, only a replica that caught up can replace it.
   */
  record CatchUp(String leaderId) implements PromotionChoice {}

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
   * @param acknowledged a position that no commit acknowledged by the home or by instances that
   *     told it exceeds; there may be others
   * @param leastAcknowledged a position that an acknowledged commit surely reached
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
      LogPosition leastAcknowledged,
      PromotionOrders.@Nullable State order) {

    boolean isPrimary(BackendServer s) {
      return s.id().equals(primaryId);
    }

    @Nullable ServerStatus reportOf(BackendServer s) {
      return reports.find(s.id());
    }
  }

  /**
   * Chooses the server to promote among those that {@link LogCoverage} finds to hold every
   * acknowledged commit, or another step by which one can be found. While the promotion of a server
   * that was ordered before may still take effect, no other one is chosen.
   */
  static PromotionChoice choose(Basis basis) {
    LogCoverage coverage = new LogCoverage(basis);
    Leads leading = findLeading(basis);
    PromotionOrders.State order = basis.order();
    if (leading != null) {
      return order == null || order.permits(leading.serverId())
          ? leading
          : chooseLeadingAgain(coverage, leading, order);
    }
    return order == null ? promote(coverage, coverage.find()) : chooseAfterOrder(coverage, order);
  }

  /**
   * Promotes a server again that leads, once the order of another one has expired unseen: in its
   * new term it follows on whatever the other one did.
   */
  private static PromotionChoice chooseLeadingAgain(
      LogCoverage coverage, Leads leading, PromotionOrders.State order) {
    LogCoverage.Holder holder = order.expired() ? coverage.findLeading(leading) : null;
    return holder == null
        ? new Wait("the promotion of " + order.serverId() + " may still take effect")
        : new Promote(holder);
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

  private static PromotionChoice chooseAfterOrder(
      LogCoverage coverage, PromotionOrders.State order) {
    String ordered = order.serverId();
    LogCoverage.Holder again = coverage.findOrdered(ordered);
    if (again != null) {
      return new Promote(again);
    }
    if (order.expired()) {
      return promote(coverage, order.inherited() ? coverage.findExcept(ordered) : coverage.find());
    }
    return order.repeatDue()
        ? new Repeat(ordered)
        : new Wait("the promotion of " + ordered + " may still take effect");
  }

  private static PromotionChoice promote(
      LogCoverage coverage, LogCoverage.@Nullable Holder holder) {
    if (holder != null) {
      return new Promote(holder);
    }
    if (!coverage.hasCandidates()) {
      return new Wait("no replica answers");
    }
    BackendServer leader = coverage.findLeaderAhead();
    return leader == null
        ? new Wait("a server that may hold acknowledged commits does not answer or lost its log")
        : new CatchUp(leader.id());
  }
}
