package org.chicorylane.internal.failover;

import org.chicorylane.internal.position.LogPosition;
import org.jspecify.annotations.Nullable;

/** Opens and closes the way of writes to the primary. Not thread-safe. */
final class WritesGate {
  private final HomeContext context;
  private final RecordKeeper keeper;
  private final GroupView view;
  private HomeAction.@Nullable OpenWrites open;
  private @Nullable CloseReason closedBy = CloseReason.PRIMARY_SUSPECTED;

  WritesGate(HomeContext context, RecordKeeper keeper, GroupView view) {
    this.context = context;
    this.keeper = keeper;
    this.view = view;
  }

  /** Returns whether writes are open. */
  boolean isOpen() {
    return open != null;
  }

  /**
   * Opens or closes.
   *
   * @param order why writes must be closed whatever the servers say; null if nothing speaks against
   */
  void step(@Nullable CloseReason order) {
    CloseReason reason = order;
    if (reason == null && !view.isPrimaryServing()) {
      reason = CloseReason.PRIMARY_SUSPECTED;
    }
    if (reason == null && (!view.canConfirm(view.voters()) || isRecordOld())) {
      reason = CloseReason.NO_CONFIRMING_MAJORITY;
    }
    if (reason == null) {
      open();
    } else {
      close(reason);
    }
  }

  /**
   * Returns whether the record dates from before the primary's lock, so that another home may have
   * changed the voters since. If the key-value service is down, the servers' word has to do.
   */
  private boolean isRecordOld() {
    ServerControl primary = view.primary();
    return primary != null && !keeper.isKnownSince(primary.lockedAt()) && !keeper.isUnavailable();
  }

  private void close(CloseReason reason) {
    boolean endsMore =
        reason.endsPendingWrites() && (closedBy == null || !closedBy.endsPendingWrites());
    if (open != null || endsMore) {
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
            keeper.wasEverRead(),
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
