package org.chicorylane.internal.failover;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * Tracks which servers the home uses and which of them still have work in flight. Not thread-safe.
 */
final class ServerUsage {
  private final HomeContext context;
  private final GroupView view;
  private final Map<String, ServerRole> inUse = new TreeMap<>();
  private final Set<String> serversWithWork = new HashSet<>();

  ServerUsage(HomeContext context, GroupView view) {
    this.context = context;
    this.view = view;
  }

  /** Returns whether the server is in use or has work in flight. */
  boolean hasWork(String server) {
    return inUse.containsKey(server) || serversWithWork.contains(server);
  }

  /** Returns whether any server is in use or has work in flight. */
  boolean hasAnyWork() {
    return !inUse.isEmpty() || !serversWithWork.isEmpty();
  }

  void onWorkEnded(String server) {
    if (!inUse.containsKey(server)) {
      serversWithWork.remove(server);
    }
  }

  /**
   * Starts and stops using servers as their current state requires.
   *
   * @param isHandingOver whether the home is releasing all servers
   * @param leavingPrimary the name of the primary that is being replaced; null if none
   */
  void step(boolean isHandingOver, @Nullable String leavingPrimary) {
    for (String server : List.copyOf(inUse.keySet())) {
      if (context.control(server) == null) {
        drop(server, DropReason.LEAVING);
      }
    }
    for (ServerControl control : context.controls()) {
      step(control, isHandingOver, leavingPrimary);
    }
  }

  private void step(ServerControl control, boolean isHandingOver, @Nullable String leavingPrimary) {
    String server = control.name();
    DropReason reason = dropReason(control);
    if (isHandingOver) {
      reason = DropReason.HANDING_OVER;
    } else if (server.equals(leavingPrimary)) {
      reason = DropReason.LEAVING;
    }
    if (reason != null) {
      drop(server, reason);
      return;
    }
    ServerRole role = isPrimary(server) ? ServerRole.PRIMARY : ServerRole.REPLICA;
    if (inUse.put(server, role) != role) {
      serversWithWork.add(server);
      context.emit(new HomeAction.UseServer(server, role));
    }
  }

  private void drop(String server, DropReason reason) {
    if (inUse.remove(server) != null) {
      context.emit(new HomeAction.DropServer(server, reason));
    }
  }

  private boolean isPrimary(String server) {
    GroupRecord record = view.record();
    return record != null && record.primary().equals(server);
  }

  private @Nullable DropReason dropReason(ServerControl control) {
    ServerObservation seen = control.observation();
    if (seen == null || view.record() == null) {
      return DropReason.LOST;
    }
    if (isPrimary(control.name())) {
      return view.isOnCurrentTerm(control) ? null : DropReason.LOST;
    }
    if (!context.takesNewWork(control.name())) {
      return DropReason.LEAVING;
    }
    return seen.inRecovery() && view.hasConsistentLog(seen) ? null : DropReason.DIVERGED;
  }
}
