package org.chicorylane.internal.failover;

import java.time.Instant;
import org.jspecify.annotations.Nullable;

/**
 * Moves the primary off a server that leaves: writes in flight end, a replica receives everything,
 * then {@link Promotion} replaces the primary. Not thread-safe.
 */
final class Switchover {
  private final HomeContext context;
  private final RecordKeeper keeper;
  private final GroupView view;
  private final ServerUsage usage;
  private @Nullable String leaving;
  private Instant quietSince = Instant.MAX;

  Switchover(HomeContext context, RecordKeeper keeper, GroupView view, ServerUsage usage) {
    this.context = context;
    this.keeper = keeper;
    this.view = view;
    this.usage = usage;
  }

  /** Returns the leaving primary, once it takes no new work; null if there is none. */
  @Nullable String leaving() {
    return leaving;
  }

  /** Returns since when the leaving primary has no work; in the far future if it still has. */
  Instant quietSince() {
    return quietSince;
  }

  /** Does what is due. */
  void step() {
    ServerControl primary = view.primary();
    if (primary == null || !isNeeded(primary)) {
      leaving = null;
      quietSince = Instant.MAX;
      return;
    }
    if (leaving == null && isPossible(primary)) {
      leaving = primary.name();
      context.report(HomeReport.SWITCHOVER_STARTED, leaving);
    }
    if (leaving != null && quietSince.equals(Instant.MAX) && !usage.hasWork(leaving)) {
      quietSince = context.now();
      primary.observeSoon();
    }
  }

  /** Returns whether a replica has all that the quiet primary wrote. */
  boolean isReady() {
    ServerControl primary = view.primary();
    return leaving != null
        && primary != null
        && primary.isObservedSince(quietSince)
        && hasSuccessor(primary);
  }

  private boolean isNeeded(ServerControl primary) {
    return view.isPrimaryServing() && !context.takesNewWork(primary.name());
  }

  private boolean isPossible(ServerControl primary) {
    return keeper.canSwap() && view.canConfirm(view.voters()) && hasSuccessor(primary);
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
          && view.holds(control)
          && other.offset() >= seen.offset()) {
        return true;
      }
    }
    return false;
  }
}
