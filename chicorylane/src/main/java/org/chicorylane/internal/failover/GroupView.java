package org.chicorylane.internal.failover;

import java.util.Collection;
import java.util.List;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.position.TermHistory;
import org.jspecify.annotations.Nullable;

/**
 * Compares the observed state of the servers with the group's record: which servers are on the
 * current term, whether a majority can confirm writes. Not thread-safe.
 */
final class GroupView {
  private final HomeContext context;
  private final GroupRecordClient recordClient;
  private @Nullable GroupRecord inferred;

  GroupView(HomeContext context, GroupRecordClient recordClient) {
    this.context = context;
    this.recordClient = recordClient;
  }

  /**
   * Returns the record; if it was never read, the record inferred from the servers; null if neither
   * is available.
   */
  @Nullable GroupRecord record() {
    return recordClient.hasBeenRead() ? recordClient.record() : inferred;
  }

  /**
   * Returns the {@link ServerControl} of the record's primary; null if there is no record or no
   * such control.
   */
  @Nullable ServerControl primary() {
    GroupRecord record = record();
    return record == null ? null : context.control(record.primary());
  }

  /** Returns the names of the voters, or of all declared servers if there is no record. */
  Collection<String> voters() {
    GroupRecord record = record();
    if (record != null) {
      return record.voters();
    }
    return context.group().servers().stream().map(s -> s.name()).toList();
  }

  /** Returns how many voters form a majority. */
  int majority() {
    return voters().size() / 2 + 1;
  }

  /** Returns whether the record's primary is ready and writes the record's term. */
  boolean isPrimaryServing() {
    ServerControl primary = primary();
    return primary != null && isOnCurrentTerm(primary);
  }

  /**
   * Returns whether the server has the log of the record's term: it is the primary and writes that
   * term, or it follows that primary in that term.
   */
  boolean isOnCurrentTerm(ServerControl control) {
    GroupRecord record = record();
    ServerObservation seen = control.observation();
    if (record == null || seen == null || seen.timeline() != record.term()) {
      return false;
    }
    if (control.name().equals(record.primary())) {
      return !seen.inRecovery();
    }
    return isFollowingPrimary(control);
  }

  /**
   * Returns whether the server is a replica that is configured to follow the record's primary and
   * is neither sealed nor being sealed.
   */
  boolean isFollowingPrimary(ServerControl control) {
    GroupRecord record = record();
    ServerObservation seen = control.observation();
    return record != null
        && seen != null
        && seen.inRecovery()
        && control.seal() == null
        && control.pendingCommand() != ControlCommand.SEAL
        && seen.upstream() != null
        && seen.upstream().equals(context.address(record.primary()));
  }

  /**
   * Returns whether the primary is serving and a majority of {@code voters}, which may include it,
   * is on the current term and so can confirm writes.
   */
  boolean canConfirmWrites(Collection<String> voters) {
    return isPrimaryServing() && serversOnCurrentTerm(voters).size() >= voters.size() / 2 + 1;
  }

  /** Returns the controls of those servers in {@code names} that are on the current term. */
  List<ServerControl> serversOnCurrentTerm(Collection<String> names) {
    return context.controls().stream()
        .filter(control -> names.contains(control.name()) && isOnCurrentTerm(control))
        .toList();
  }

  /**
   * Returns whether the primary is ready but neither writes the record's term nor can be promoted
   * to it, because its data was reset to an older state or another process demoted it.
   */
  boolean isPrimaryUnusable() {
    GroupRecord record = record();
    ServerControl primary = primary();
    if (record == null
        || primary == null
        || !primary.isReady()
        || primary.pendingCommand() != null) {
      return false;
    }
    ServerObservation seen = primary.observation();
    // Usable is a server that writes the term, or one in recovery on an older timeline.
    return seen != null && seen.inRecovery() == (seen.timeline() >= record.term());
  }

  /**
   * Returns the position at which a log ends, with the term of its last byte. A replica that
   * follows a new term but has not received the first byte of that term still ends in an older
   * term.
   *
   * @param history the terms of the group
   * @param timeline the timeline of the server
   * @param offset where the server's log ends
   */
  static LogPosition endPosition(TermHistory history, long timeline, long offset) {
    List<TermHistory.Entry> entries = history.entries();
    for (int i = entries.size() - 1; i > 0; i--) {
      TermHistory.Entry entry = entries.get(i);
      if (entry.term() <= timeline && entry.startOffset() < offset) {
        return new LogPosition(entry.term(), offset);
      }
    }
    return new LogPosition(Math.min(timeline, entries.get(0).term()), offset);
  }

  /** Returns whether everything that a replica has replayed is part of the record's history. */
  boolean hasConsistentLog(ServerObservation seen) {
    GroupRecord record = record();
    return record != null
        && seen.timeline() <= record.term()
        && record
            .history()
            .contains(endPosition(record.history(), seen.timeline(), seen.replayedOffset()));
  }

  /**
   * Infers the record from the servers if the key-value service has never been reached. This is
   * safe if a majority follows one primary on its timeline, because no later term can exist then:
   * its promoter would have sealed a server of that majority, and a seal is undone only after a
   * swap of the record.
   */
  void inferRecord() {
    if (recordClient.hasBeenRead() || !recordClient.isUnavailable()) {
      return;
    }
    List<String> names = context.group().servers().stream().map(s -> s.name()).sorted().toList();
    GroupRecord before = inferred;
    for (ServerControl control : context.controls()) {
      ServerObservation seen = control.observation();
      if (seen == null || seen.inRecovery() || !names.contains(control.name())) {
        continue;
      }
      inferred =
          new GroupRecord(
              seen.timeline(),
              control.name(),
              "inferred",
              TermHistory.first(seen.timeline()),
              names);
      if (canConfirmWrites(names)) {
        if (!inferred.equals(before)) {
          context.report(HomeReport.RECORD_INFERRED, inferred.toString());
        }
        return;
      }
    }
    inferred = before;
  }
}
