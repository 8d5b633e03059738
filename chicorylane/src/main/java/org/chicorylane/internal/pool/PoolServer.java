package org.chicorylane.internal.pool;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import org.chicorylane.internal.passthrough.ServerConnector;
import org.chicorylane.internal.passthrough.ServerLink;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.topology.BackendServer;
import org.jspecify.annotations.Nullable;

/** What the home knows of one server of its group, and its connections there. */
final class PoolServer {

  /** Service time assumed before the first answer, in nanoseconds. */
  private static final double FIRST_SERVICE_NANOS = 15e6;

  /** Weight of the newest answer in the mean service time. */
  private static final double SERVICE_WEIGHT = 0.1;

  /** Lag assumed of a replica that has not told its position, in milliseconds. */
  private static final long UNKNOWN_LAG_MILLIS = 60_000;

  BackendServer entry;
  boolean primary;
  boolean gone;

  /** Statements and openings of connections that are under way. */
  int busy;

  int opening;
  final Set<PooledConnection> connections = new HashSet<>();
  final Deque<PooledConnection> idle = new ArrayDeque<>();
  @Nullable ServerLink control;
  boolean controlOpening;
  boolean statusOutstanding;
  long statusSentNanos;
  long lastHeardNanos;
  LogPosition position = LogPosition.ZERO;
  long lagMillis = UNKNOWN_LAG_MILLIS;
  double serviceNanos = FIRST_SERVICE_NANOS;

  /** Whether the last attempt to reach it failed. */
  boolean unreachable;

  long retryAtNanos;

  PoolServer(BackendServer entry) {
    this.entry = entry;
  }

  ServerConnector.Target target() {
    return new ServerConnector.Target(entry.group(), entry.id(), entry.address());
  }

  boolean usable() {
    return !gone && !unreachable;
  }

  boolean acceptsNewWork() {
    return usable() && (!entry.draining() || primary);
  }

  /** Returns the expected time until a statement sent now is answered, in nanoseconds. */
  double expectedNanos() {
    int slots = Math.max(1, entry.slots());
    return serviceNanos * Math.max(1.0, (busy + 1.0) / slots);
  }

  void onServed(long nanos) {
    serviceNanos += SERVICE_WEIGHT * (nanos - serviceNanos);
  }

  void onPosition(@Nullable LogPosition reported) {
    if (reported != null) {
      position = reported;
    }
  }

  void forgetPosition() {
    position = LogPosition.ZERO;
    lagMillis = UNKNOWN_LAG_MILLIS;
  }

  /** Takes the idle connection that needs the fewest commands for {@code values}. */
  @Nullable PooledConnection takeIdle(Map<String, String> values) {
    PooledConnection best = null;
    int bestDistance = Integer.MAX_VALUE;
    for (Iterator<PooledConnection> i = idle.descendingIterator(); i.hasNext(); ) {
      PooledConnection c = i.next();
      int distance = c.distanceTo(values);
      if (distance < bestDistance) {
        best = c;
        bestDistance = distance;
      }
      if (distance == 0) {
        break;
      }
    }
    if (best != null) {
      idle.remove(best);
    }
    return best;
  }
}
