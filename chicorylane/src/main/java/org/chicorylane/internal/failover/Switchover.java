package org.chicorylane.internal.failover;

import java.time.Instant;
import org.jspecify.annotations.Nullable;

/**
 * Moves the primary off a server that leaves: writes in flight end, a replica receives everything,
 * then {@link Promotion} replaces the primary. Not thread-safe.
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

  /** Returns the leavingPrimary primary, once it takes no new work; null if there is none. */
  @Nullable String leavingPrimary() {
    return leavingPrimary;
  }

  /**
   * Returns since when the leavingPrimary primary has no work; in the far future if it still has.
   */
  Instant idleSince() {
    return idleSince;
  }

  /** Does what is due. */
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

  /** Returns whether a replica has all that the quiet primary wrote. */
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
