package org.chicorylane.internal.election;

import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Stream;
import org.chicorylane.internal.passthrough.ServerStatus;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.topology.BackendServer;
import org.jspecify.annotations.Nullable;

/**
 * Tells which servers' logs surely hold every acknowledged commit, by the reports of one attempt to
 * replace the primary. Only the methods of this class create a {@link Holder}, which is what a
 * promotion takes.
 *
 * <p>Three sets of servers matter, and they differ:
 *
 * <ul>
 *   <li>Those that may hold the last acknowledged commit: all members of the group, with or without
 *       an entry. One other than the primary has confirmed it.
 *   <li>Those that have reported: sealed replicas, whose logs grow no more, and whoever leads the
 *       recorded term. A server that still leads an earlier term, which it learns only when it is
 *       told to step down, counts as silent until it is a sealed replica.
 *   <li>Those that may be chosen: the sealed replicas, a former primary among them.
 * </ul>
 *
 * <p>A log holds every acknowledged commit if it reaches one of these ends:
 *
 * <ul>
 *   <li>the bound on all acknowledged commits,
 *   <li>the end of the log of the server that leads the recorded term,
 *   <li>if all members other than the primary have reported: the longest of their logs, unless it
 *       ends before a commit that this instance acknowledged, so that one of them has lost its log,
 *   <li>if the primary has reported as a sealed replica as well, or has left for good: the longest
 *       log. What it lacks is on no server any more.
 * </ul>
 *
 * <p>Immutable.
 */
final class LogCoverage {

  /** A server that may be promoted, because its log holds every acknowledged commit. */
  static final class Holder {
    private final BackendServer server;
    private final LogPosition logEnd;

    private Holder(BackendServer server, LogPosition logEnd) {
      this.server = server;
      this.logEnd = logEnd;
    }

    BackendServer server() {
      return server;
    }

    LogPosition logEnd() {
      return logEnd;
    }

    @Override
    public String toString() {
      return server.id() + " at " + logEnd;
    }
  }

  private final PromotionChoice.Basis basis;

  LogCoverage(PromotionChoice.Basis basis) {
    this.basis = basis;
  }

  /**
   * Returns the holder with the longest log, or one that is not draining and holds as much as may
   * have been acknowledged; null if no log surely holds every acknowledged commit.
   */
  @Nullable Holder find() {
    BackendServer longest = longestOf(basis.servers());
    LogPosition required = longest == null ? null : requiredEnd();
    if (longest == null || required == null || endOf(longest).compareTo(required) < 0) {
      return null;
    }
    BackendServer lasting = longest.draining() ? longestLasting(longest) : null;
    return holder(lasting == null ? longest : lasting);
  }

  /**
   * Returns the holder with the longest log among the servers other than {@code ordered}, which an
   * earlier home may have used as the primary: a commit of its term is on one of the others, which
   * may be the recorded primary. Returns null if one of them has not reported, or if all replicas
   * end before the recorded primary's log or, unless {@code ordered} has left for good, before a
   * commit that this instance acknowledged.
   */
  @Nullable Holder findExcept(String ordered) {
    List<BackendServer> others =
        basis.servers().stream().filter(s -> !s.id().equals(ordered)).toList();
    BackendServer longest = longestOf(others);
    boolean allReported =
        Set.of(ordered).containsAll(basis.missing())
            && others.stream().allMatch(s -> basis.reportOf(s) != null);
    if (longest == null || !allReported) {
      return null;
    }
    boolean hasLeft = others.size() == basis.servers().size() && basis.missing().isEmpty();
    LogPosition least = hasLeft ? LogPosition.ZERO : basis.leastAcknowledged();
    LogPosition required = others.stream().map(this::endOf).reduce(least, LogPosition::max);
    return endOf(longest).compareTo(required) < 0 ? null : holder(longest);
  }

  /**
   * Returns a server whose promotion was ordered before as a holder: it held every acknowledged
   * commit then, and none can have been acknowledged elsewhere since. Returns null if it has not
   * reported as a sealed replica, or has lost its log.
   */
  @Nullable Holder findOrdered(String ordered) {
    for (BackendServer s : basis.servers()) {
      if (s.id().equals(ordered)
          && !basis.isPrimary(s)
          && isSealedReplica(s)
          && endOf(s).compareTo(basis.leastAcknowledged()) >= 0) {
        return holder(s);
      }
    }
    return null;
  }

  /** Returns the server that leads a later term than the recorded one as a holder. */
  @Nullable Holder findLeading(PromotionChoice.Leads leading) {
    for (BackendServer s : basis.servers()) {
      if (s.id().equals(leading.serverId())) {
        return holder(s);
      }
    }
    return null;
  }

  /**
   * Returns the server that leads the recorded term, if it has reported a longer log than every
   * replica that may be chosen; null if there is none.
   */
  @Nullable BackendServer findLeaderAhead() {
    BackendServer leader = leaderOfRecordedTerm();
    BackendServer longest = longestOf(basis.servers());
    boolean isAhead =
        leader != null && longest != null && endOf(leader).compareTo(endOf(longest)) > 0;
    return isAhead ? leader : null;
  }

  private @Nullable BackendServer leaderOfRecordedTerm() {
    BackendServer leader = null;
    for (BackendServer s : basis.servers()) {
      ServerStatus status = basis.reportOf(s);
      if (status != null && status.term() > basis.term()) {
        return null;
      }
      leader = status != null && status.primary() ? s : leader;
    }
    return leader;
  }

  /** Returns whether a replica has reported that may be chosen. */
  boolean hasCandidates() {
    return basis.servers().stream().anyMatch(this::isSealedReplica);
  }

  /** Returns the least log end that proves a log to hold every acknowledged commit, if any. */
  private @Nullable LogPosition requiredEnd() {
    return Stream.of(basis.bound(), leaderLogEnd(), longestReported())
        .filter(Objects::nonNull)
        .min(LogPosition::compareTo)
        .orElse(null);
  }

  /** Returns the end of the log of the server that leads the recorded term; null if unknown. */
  private @Nullable LogPosition leaderLogEnd() {
    BackendServer leader = leaderOfRecordedTerm();
    return leader == null ? null : endOf(leader).max(basis.acknowledged());
  }

  /**
   * Returns the end of the longest log, or a later position that is known to be acknowledged; null
   * if a server other than the recorded primary may hold a longer log and has not reported.
   */
  private @Nullable LogPosition longestReported() {
    BackendServer longest = longestOf(basis.servers());
    boolean allOthersReported =
        basis.missing().stream().allMatch(id -> id.equals(basis.primaryId()))
            && basis.servers().stream().allMatch(s -> basis.isPrimary(s) || isSealedReplica(s));
    if (longest == null || !allOthersReported) {
      return null;
    }
    boolean primaryReported =
        basis.missing().isEmpty() && basis.servers().stream().allMatch(this::isSealedReplica);
    return primaryReported ? endOf(longest) : endOf(longest).max(basis.leastAcknowledged());
  }

  /**
   * Returns the replica with the longest log that is not draining and covers the bound; null if
   * there is none. The rest of the longest log was never acknowledged.
   */
  private @Nullable BackendServer longestLasting(BackendServer longest) {
    BackendServer lasting = longestOf(basis.servers().stream().filter(s -> !s.draining()).toList());
    LogPosition bound = basis.bound();
    if (lasting == null || bound == null) {
      return null;
    }
    LogPosition end = endOf(lasting);
    boolean sameTerm = end.term() == endOf(longest).term();
    return sameTerm && end.compareTo(bound) >= 0 ? lasting : null;
  }

  /**
   * Returns the sealed replica with the longest log; of equal ones, one that is not draining, then
   * one that is not the recorded primary.
   */
  private @Nullable BackendServer longestOf(List<BackendServer> servers) {
    BackendServer best = null;
    for (BackendServer s : servers) {
      if (isSealedReplica(s) && (best == null || isBetter(s, best))) {
        best = s;
      }
    }
    return best;
  }

  private boolean isBetter(BackendServer s, BackendServer best) {
    int byLog = endOf(s).compareTo(endOf(best));
    if (byLog != 0 || s.draining() != best.draining()) {
      return byLog > 0 || (byLog == 0 && best.draining());
    }
    return basis.isPrimary(best);
  }

  private boolean isSealedReplica(BackendServer s) {
    ServerStatus status = basis.reportOf(s);
    return status != null && !status.primary();
  }

  private LogPosition endOf(BackendServer s) {
    ServerStatus status = basis.reportOf(s);
    return status == null ? LogPosition.ZERO : status.received();
  }

  private Holder holder(BackendServer s) {
    return new Holder(s, endOf(s));
  }
}
