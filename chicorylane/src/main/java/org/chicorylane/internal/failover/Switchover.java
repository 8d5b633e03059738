package org.chicorylane.internal.failover;

import java.time.Instant;
import org.jspecify.annotations.Nullable;

/**
 * Prepares the planned replacement of a primary that is leaving: waits until its writes in flight
 * have completed and a replica has received its whole log. {@link Promotion} then replaces it. Not
 * thread-safe.
 */
final class Switchover {
  private final HomeContext context;
  private final GroupRecordClient recordClient;
  private final GroupView view;
  private final ServerUsage usage;
  private @Nullable String leavingPrimary;
  private Instant idleSince = Instant.MAX;

  Switchover(
      HomeContext context, GroupRecordClient recordClient, GroupView view, ServerUsage usage) {
    this.context = context;
    this.recordClient = recordClient;
    this.view = view;
    this.usage = usage;
  }

  /** Returns the name of the leaving primary once it takes no new work; null if there is none. */
  @Nullable String leavingPrimary() {
    return leavingPrimary;
  }

  /**
   * Returns when the leaving primary finished its work; {@link Instant#MAX} if it still has some.
   */
  Instant idleSince() {
    return idleSince;
  }

  /** Starts, advances or cancels the switchover as the state of the group requires. */
  void step() {
    ServerControl primary = view.primary();
    if (primary == null || !isNeeded(primary)) {
      leavingPrimary = null;
      idleSince = Instant.MAX;
      return;
    }
    if (leavingPrimary == null && canStart(primary)) {
      leavingPrimary = primary.name();
      context.report(HomeReport.SWITCHOVER_STARTED, leavingPrimary);
    }
    if (leavingPrimary != null && idleSince.equals(Instant.MAX) && !usage.hasWork(leavingPrimary)) {
      idleSince = context.now();
      primary.observeSoon();
    }
  }

  /** Returns whether a replica has all the log that the idle primary wrote. */
  boolean isReady() {
    ServerControl primary = view.primary();
    return leavingPrimary != null
        && primary != null
        && primary.isObservedSince(idleSince)
        && hasSuccessor(primary);
  }

  private boolean isNeeded(ServerControl primary) {
    return view.isPrimaryServing() && !context.takesNewWork(primary.name());
  }

  private boolean canStart(ServerControl primary) {
    return recordClient.canSwap() && view.canConfirmWrites(view.voters()) && hasSuccessor(primary);
  }

  private boolean hasSuccessor(ServerControl primary) {
    ServerObservation seen = primary.observation();
    if (seen == null) {
      return false;
    }
    for (ServerControl control : context.controls()) {
      ServerObservation other = control.observation();
      if (other != null
          && control != primary
          && context.takesNewWork(control.name())
          && view.voters().contains(control.name())
          && view.isOnCurrentTerm(control)
          && other.offset() >= seen.offset()) {
        return true;
      }
    }
    return false;
  }
}
