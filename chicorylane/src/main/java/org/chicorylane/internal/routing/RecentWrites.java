package org.chicorylane.internal.routing;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.chicorylane.internal.position.LogPosition;
import org.jspecify.annotations.Nullable;

/**
 * Remembers what sessions wrote until every replica that may serve them has it, so that a session
 * whose answer was lost still reads its writes.
 *
 * <pre>{@code
 * writes.wrote("s1", position);
 * LogPosition floor = writes.floor("s1");
 * writes.forgetCovered(lowestReplayed);
 * }</pre>
 *
 * <p>Bounded: beyond the limit the oldest write is forgotten by name and raises the floor of all
 * sessions instead, so nothing is lost. Not thread-safe.
 */
final class RecentWrites {
  private final int maxSessions;
  private final LinkedHashMap<String, LogPosition> positions = new LinkedHashMap<>();
  private final Map<String, Integer> unsettled = new HashMap<>();
  private LogPosition floorOfAll = LogPosition.ZERO;
  private int unsettledOfAll;

  RecentWrites(int maxSessions) {
    this.maxSessions = maxSessions;
  }

  /** Raises the floor of all sessions. */
  void raiseFloorOfAll(LogPosition position) {
    floorOfAll = floorOfAll.max(position);
  }

  /** Notes a write that ended up to that position. */
  void wrote(String sessionId, LogPosition position) {
    LogPosition earlier = positions.remove(sessionId);
    positions.put(sessionId, earlier == null ? position : earlier.max(position));
    if (positions.size() > maxSessions) {
      Iterator<LogPosition> oldest = positions.values().iterator();
      raiseFloorOfAll(oldest.next());
      oldest.remove();
    }
  }

  /** Notes a write that may still be committed, so no position covers it yet. */
  void startUnsettled(String sessionId) {
    if (unsettled.containsKey(sessionId) || unsettled.size() < maxSessions) {
      unsettled.merge(sessionId, 1, Integer::sum);
    } else {
      unsettledOfAll++;
    }
  }

  /** Notes that such a write can no longer change anything beyond that position. */
  void settle(String sessionId, LogPosition position) {
    if (unsettled.containsKey(sessionId)) {
      unsettled.computeIfPresent(sessionId, (s, n) -> n == 1 ? null : n - 1);
    } else if (unsettledOfAll > 0) {
      unsettledOfAll--;
    }
    wrote(sessionId, position);
  }

  /** Returns whether only the primary can be right for the session. */
  boolean isUnsettled(String sessionId) {
    return unsettledOfAll > 0 || unsettled.containsKey(sessionId);
  }

  /** Returns what the session must see. */
  LogPosition floor(String sessionId) {
    @Nullable LogPosition own = positions.get(sessionId);
    return own == null ? floorOfAll : own.max(floorOfAll);
  }

  /** Notes that no write of unknown outcome can be committed after that position any more. */
  void settleAll(LogPosition position) {
    unsettled.clear();
    unsettledOfAll = 0;
    raiseFloorOfAll(position);
  }

  /**
   * Forgets the writes up to an offset of the current log, as every replica in use has replayed
   * them. They raise the floor of all sessions, for replicas that return or are new.
   */
  void forgetCovered(long offset) {
    for (Iterator<LogPosition> i = positions.values().iterator(); i.hasNext(); ) {
      LogPosition position = i.next();
      if (position.offset() <= offset) {
        raiseFloorOfAll(position);
        i.remove();
      }
    }
  }

  int size() {
    return positions.size();
  }
}
