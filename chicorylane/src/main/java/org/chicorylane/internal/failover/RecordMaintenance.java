package org.chicorylane.internal.failover;

import java.util.ArrayList;
import java.util.List;
import org.chicorylane.internal.declaration.BackendServer;
import org.chicorylane.internal.position.TermHistory;
import org.jspecify.annotations.Nullable;

/**
 * Changes the group's record for every cause except a new primary: creates it, corrects the term
 * after a promotion, adds and removes voters, and rewrites it unchanged as a fence against older
 * swaps. Not thread-safe.
 */
final class RecordMaintenance {
  private final HomeContext context;
  private final GroupRecordClient recordClient;
  private final GroupView view;
  private final ReplicaRepair replicaRepair;

  RecordMaintenance(
      HomeContext context,
      GroupRecordClient recordClient,
      GroupView view,
      ReplicaRepair replicaRepair) {
    this.context = context;
    this.recordClient = recordClient;
    this.view = view;
    this.replicaRepair = replicaRepair;
  }

  /**
   * Starts the swap that is due, if any. Must only be called while the primary is not being
   * replaced.
   */
  void step() {
    if (!recordClient.canSwap()) {
      return;
    }
    GroupRecord next = nextRecord();
    if (next != null) {
      recordClient.swap(next.withPromoter(context.newPromoterId()));
    }
  }

  private @Nullable GroupRecord nextRecord() {
    GroupRecord record = recordClient.record();
    if (record == null) {
      return firstRecord();
    }
    ServerControl primary = context.control(record.primary());
    ServerObservation seen = primary == null ? null : primary.observation();
    if (seen != null && !seen.inRecovery() && seen.timeline() > record.term()) {
      return withTerm(record, seen.timeline());
    }
    GroupRecord changed = withChangedVoter(record);
    if (changed != null) {
      context.report(HomeReport.VOTERS_CHANGED, record.voters() + " to " + changed.voters());
      return changed;
    }
    return replicaRepair.isFenceNeeded() ? record : null;
  }

  private @Nullable GroupRecord firstRecord() {
    String name = context.group().initialPrimary();
    ServerControl primary = context.control(name);
    ServerObservation seen = primary == null ? null : primary.observation();
    if (seen == null || seen.inRecovery()) {
      return null;
    }
    List<String> voters = context.group().servers().stream().map(BackendServer::name).toList();
    return new GroupRecord(seen.timeline(), name, "", TermHistory.first(seen.timeline()), voters);
  }

  private static GroupRecord withTerm(GroupRecord record, long term) {
    List<TermHistory.Entry> entries = new ArrayList<>(record.history().entries());
    TermHistory.Entry last = entries.remove(entries.size() - 1);
    entries.add(new TermHistory.Entry(term, last.startOffset()));
    return new GroupRecord(
        term, record.primary(), record.promoter(), TermHistory.of(entries), record.voters());
  }

  /**
   * Returns the record with one voter added or removed; null if no change is due or possible. A
   * majority of the current voters must be on the current term and must have been observed, under
   * their locks, since the last change of the record was learned, so that no other home still
   * counts with the voters before that change.
   */
  private @Nullable GroupRecord withChangedVoter(GroupRecord record) {
    boolean hasCurrentMajority =
        view.serversOnCurrentTerm(record.voters()).stream()
                .filter(this::isObservedSinceRecordChanged)
                .count()
            >= record.majority();
    if (!hasCurrentMajority || !view.canConfirmWrites(record.voters())) {
      return null;
    }
    for (ServerControl control : context.controls()) {
      List<String> voters = new ArrayList<>(record.voters());
      if (voters.contains(control.name())) {
        if (!context.isDeclared(control.name()) && !control.name().equals(record.primary())) {
          voters.remove(control.name());
        }
      } else if (context.takesNewWork(control.name()) && view.isOnCurrentTerm(control)) {
        voters.add(control.name());
      }
      if (voters.size() != record.voters().size() && view.canConfirmWrites(voters)) {
        return record.withVoters(voters);
      }
    }
    return null;
  }

  private boolean isObservedSinceRecordChanged(ServerControl control) {
    return recordClient.isObservedSinceRecordChanged(control);
  }
}
