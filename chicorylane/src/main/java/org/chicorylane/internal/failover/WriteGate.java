package org.chicorylane.internal.failover;

import org.chicorylane.internal.position.LogPosition;
import org.jspecify.annotations.Nullable;

/**
 * Decides whether writes may be sent to the primary, and emits {@link HomeAction.OpenWrites} and
 * {@link HomeAction.CloseWrites}. Not thread-safe.
 */
final class WriteGate {
  private final HomeContext context;
  private final GroupRecordClient recordClient;
  private final GroupView view;
  private HomeAction.@Nullable OpenWrites open;
  private @Nullable CloseReason closedBy = CloseReason.PRIMARY_SUSPECTED;

  WriteGate(HomeContext context, GroupRecordClient recordClient, GroupView view) {
    this.context = context;
    this.recordClient = recordClient;
    this.view = view;
  }

  /** Returns whether writes are open. */
  boolean isOpen() {
    return open != null;
  }

  /**
   * Opens or closes writes as the state of the servers and the record requires.
   *
   * @param requiredReason why writes must be closed regardless of the state of the servers; null if
   *     they need not be
   */
  void step(@Nullable CloseReason requiredReason) {
    CloseReason reason = requiredReason;
    if (reason == null && !view.isPrimaryServing()) {
      reason = CloseReason.PRIMARY_SUSPECTED;
    }
    if (reason == null && (!view.canConfirmWrites(view.voters()) || isRecordStale())) {
      reason = CloseReason.NO_CONFIRMING_MAJORITY;
    }
    if (reason == null) {
      open();
    } else {
      close(reason);
    }
  }

  /**
   * Returns whether the record was last read before the primary's lock was acquired, so that
   * another home may have changed the voters since. While the key-value service is unavailable, the
   * state of the servers must suffice and this returns false.
   */
  private boolean isRecordStale() {
    ServerControl primary = view.primary();
    return primary != null
        && !recordClient.isCurrentAsOf(primary.lockedAt())
        && !recordClient.isUnavailable();
  }

  private void close(CloseReason reason) {
    boolean endsPendingNow =
        reason.endsPendingWrites() && (closedBy == null || !closedBy.endsPendingWrites());
    if (open != null || endsPendingNow) {
      context.emit(new HomeAction.CloseWrites(reason));
      closedBy = reason;
    }
    open = null;
  }

  private void open() {
    GroupRecord record = view.record();
    ServerControl primary = view.primary();
    ServerObservation seen = primary == null ? null : primary.observation();
    if (record == null || seen == null) {
      return;
    }
    LogPosition floor =
        open != null && open.term() == record.term()
            ? open.floor()
            : new LogPosition(record.term(), seen.offset());
    HomeAction.OpenWrites next =
        new HomeAction.OpenWrites(
            record.primary(),
            record.term(),
            record.history(),
            recordClient.hasBeenRead(),
            record.voters(),
            floor);
    if (!next.equals(open)) {
      if (open == null) {
        context.report(HomeReport.HOME_TAKEN, record.primary() + " in term " + record.term());
      }
      open = next;
      closedBy = null;
      context.emit(next);
    }
  }
}
