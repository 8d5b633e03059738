package org.chicorylane.internal.failover;

import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Makes replicas follow the record's primary, and reports servers that cannot follow it. Not
 * thread-safe.
 *
 * <p>A replica without an upstream may have been sealed by a home whose swap of the record is still
 * in transit. Therefore the record is swapped once while the replica's lock is held, as a fence,
 * before the replica is told to follow: the older swap then fails.
 */
final class ReplicaRepair {
  private final HomeContext context;
  private final GroupView view;
  private final Map<String, Instant> nextTryAt = new HashMap<>();
  private final Set<ControlConnection> reported = new HashSet<>();
  private boolean isFenceNeeded;

  ReplicaRepair(HomeContext context, GroupView view) {
    this.context = context;
    this.view = view;
  }

  /** Returns whether the record must be swapped as a fence before replicas can be repaired. */
  boolean isFenceNeeded() {
    return isFenceNeeded;
  }

  /**
   * Repairs the replicas that need it. Must only be called while neither a replacement of the
   * primary nor a swap is in progress.
   */
  void step() {
    isFenceNeeded = false;
    GroupRecord record = view.record();
    if (record == null || !view.isPrimaryServing()) {
      return;
    }
    for (ServerControl control : context.controls()) {
      boolean isPrimary = control.name().equals(record.primary());
      if (!isPrimary && control.isReady() && control.pendingCommand() == null) {
        repair(control, record);
      }
    }
  }

  private void repair(ServerControl control, GroupRecord record) {
    ServerObservation seen = control.observation();
    if (seen == null || view.isOnCurrentTerm(control)) {
      return;
    }
    if (!seen.inRecovery() || !view.hasConsistentLog(seen)) {
      reportOnce(control, seen);
      return;
    }
    if (view.isFollowingPrimary(control)
        || !context.isDue(nextTryAt.getOrDefault(control.name(), Instant.MIN))) {
      return;
    }
    if (!control.isFenced()) {
      isFenceNeeded = true;
      return;
    }
    nextTryAt.put(control.name(), context.now().plus(context.timings().repairRetry()));
    control.sendFollow(record.primary());
  }

  private void reportOnce(ServerControl control, ServerObservation seen) {
    if (context.takesNewWork(control.name()) && reported.add(control.connection())) {
      context.report(HomeReport.REBUILD_NEEDED, control.name() + " shows " + seen);
    }
  }
}
