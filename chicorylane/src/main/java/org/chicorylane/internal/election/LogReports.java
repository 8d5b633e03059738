package org.chicorylane.internal.election;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.chicorylane.internal.passthrough.ServerStatus;
import org.chicorylane.internal.topology.BackendServer;
import org.jspecify.annotations.Nullable;

/**
 * The log ends that the servers of a group reported in one attempt to replace the primary. An
 * answer counts only if its question was sent within the attempt. A replica's answer counts only if
 * the replica is sealed for the attempt: the log of any other replica may have grown since. A
 * primary's answer counts only if it leads the newest term that was known at the start: any other
 * one was replaced, and can be sealed once it has stepped down.
 *
 * <p>Confined to the instance's thread.
 */
final class LogReports {

  private record Report(ServerStatus status, long askedNanos) {}

  private final Map<String, Report> reports = new LinkedHashMap<>();
  private long startNanos = Long.MAX_VALUE;
  private long newestTerm;

  /**
   * Discards all reports and starts an attempt.
   *
   * @param newestKnownTerm the newest term that any server has reported or that is recorded
   */
  void start(long newestKnownTerm, long nowNanos) {
    reports.clear();
    newestTerm = newestKnownTerm;
    startNanos = nowNanos;
  }

  /** Returns the term for which replicas are sealed. */
  long sealTerm() {
    return newestTerm + 1;
  }

  /** Returns the newest term that was known when the attempt started. */
  long newestTerm() {
    return newestTerm;
  }

  /** Returns whether a server that says it leads was replaced, so that it has to step down. */
  boolean isReplaced(ServerStatus status) {
    return status.primary() && status.term() < newestTerm;
  }

  /**
   * Adds a server's answer, or discards the earlier one if the server is a replica that receives
   * the log again or a primary that was replaced.
   *
   * @param askedNanos time at which the question was sent
   */
  void add(String serverId, ServerStatus status, long askedNanos) {
    if (askedNanos < startNanos) {
      return;
    }
    boolean counts = status.primary() ? !isReplaced(status) : status.sealedTerm() >= sealTerm();
    if (counts) {
      reports.put(serverId, new Report(status, askedNanos));
    } else {
      reports.remove(serverId);
    }
  }

  /** Discards the report of a server that was lost: it may restart, and receive the log again. */
  void remove(String serverId) {
    reports.remove(serverId);
  }

  /** Returns the server's report in this attempt; null if there is none. */
  @Nullable ServerStatus find(String serverId) {
    Report report = reports.get(serverId);
    return report == null ? null : report.status();
  }

  /** Returns one line that tells what each server reported, and how long ago it was asked. */
  String describe(List<BackendServer> servers, long nowNanos) {
    StringBuilder text = new StringBuilder();
    for (BackendServer s : servers) {
      text.append(text.isEmpty() ? "" : ", ").append(s.id()).append(' ');
      Report report = reports.get(s.id());
      if (report == null) {
        text.append("silent");
        continue;
      }
      text.append(report.status().primary() ? "primary at " : "replica at ")
          .append(report.status().received())
          .append(" term ")
          .append(report.status().term())
          .append(" sealed ")
          .append(report.status().sealedTerm())
          .append(" asked ")
          .append((nowNanos - report.askedNanos()) / 1_000_000)
          .append(" ms ago");
    }
    return text.toString();
  }
}
