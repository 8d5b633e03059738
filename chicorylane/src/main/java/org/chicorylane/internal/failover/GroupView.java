package org.chicorylane.internal.failover;

import java.util.Collection;
import java.util.List;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.position.TermHistory;
import org.jspecify.annotations.Nullable;

/** Judges what the servers said against the group's record. Not thread-safe. */
final class GroupView {
  private final HomeContext context;
  private final GroupRecordClient recordClient;
  private @Nullable GroupRecord inferred;

  GroupView(HomeContext context, GroupRecordClient recordClient) {
    this.context = context;
    this.recordClient = recordClient;
  }

  /**
   * Returns the record, or what the servers show of it while it was never read; null if unknown.
   */
  @Nullable GroupRecord record() {
    return recordClient.hasBeenRead() ? recordClient.record() : inferred;
  }

  /** Returns the control of the record's primary; null if no record is known. */
  @Nullable ServerControl primary() {
    GroupRecord record = record();
    return record == null ? null : context.control(record.primary());
  }

  /** Returns the names of the voters, or of the declared servers while no record is known. */
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
   * Returns whether the server's log is the current term's: it is the primary in that term, or
   * follows that primary in it.
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

  /** Returns whether the server is a replica that is set to follow the record's primary. */
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

  /** Returns whether a majority of {@code voters}, the primary included, can confirm writes. */
  boolean canConfirmWrites(Collection<String> voters) {
    return isPrimaryServing() && serversOnCurrentTerm(voters).size() >= voters.size() / 2 + 1;
  }

  /** Returns those of {@code names} that hold the current term's log. */
  List<ServerControl> serversOnCurrentTerm(Collection<String> names) {
    return context.controls().stream()
        .filter(control -> names.contains(control.name()) && isOnCurrentTerm(control))
        .toList();
  }

  /**
   * Returns whether the primary is ready but is no primary of the record's term and cannot become
   * it: it was set back, or demoted by others.
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
    return seen != null && seen.inRecovery() == (seen.timeline() >= record.term());
  }

  /**
   * Returns the term of the last byte of a log that ends at {@code offset} of {@code timeline}. A
   * replica that follows a new term but has not received that term's first byte still ends in an
   * older one.
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

  /** Returns whether all that a replica has replayed is part of the record's history. */
  boolean hasConsistentLog(ServerObservation seen) {
    GroupRecord record = record();
    return record != null
        && seen.timeline() <= record.term()
        && record
            .history()
            .survives(endPosition(record.history(), seen.timeline(), seen.replayedOffset()));
  }

  /**
   * Infers the record from the servers while the key-value service was never reached. A majority
   * that follows one primary in its timeline rules a later term out: that term's promoter would
   * have sealed one of them, and sealing is undone only after a swap of the record.
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
