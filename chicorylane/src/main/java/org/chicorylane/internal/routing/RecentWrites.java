package org.chicorylane.internal.routing;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.chicorylane.internal.position.LogPosition;
import org.jspecify.annotations.Nullable;

/**
 * Keeps the position of each session's last write until all replicas in use have replayed it, so
 * that a session reads its own writes even if the answer with the position was lost.
 *
 * <pre>{@code
 * writes.recordWrite("s1", position);
 * LogPosition floor = writes.floor("s1");
 * writes.removeCovered(lowestReplayed);
 * }</pre>
 *
 * <p>Memory is bounded: beyond the limit, the entry of the session that has gone longest without a
 * write is removed and its position raises the floor shared by all sessions, so that it is still
 * respected. Not thread-safe.
 */
final class RecentWrites {
  private final int maxSessions;
  private final LinkedHashMap<String, LogPosition> positions = new LinkedHashMap<>();
  private final Map<String, Integer> inDoubtCounts = new HashMap<>();
  private LogPosition sharedFloor = LogPosition.ZERO;

  /** Writes in doubt that were counted without their session, because the limit was reached. */
  private int untrackedInDoubtCount;

  RecentWrites(int maxSessions) {
    this.maxSessions = maxSessions;
  }

  /** Raises the floor that all sessions share to at least {@code position}. */
  void raiseSharedFloor(LogPosition position) {
    sharedFloor = sharedFloor.max(position);
  }

  /** Records a write of a session that is included in the log up to {@code position}. */
  void recordWrite(String sessionId, LogPosition position) {
    LogPosition earlier = positions.remove(sessionId);
    positions.put(sessionId, earlier == null ? position : earlier.max(position));
    if (positions.size() > maxSessions) {
      Iterator<LogPosition> oldest = positions.values().iterator();
      raiseSharedFloor(oldest.next());
      oldest.remove();
    }
  }

  /** Records a write in doubt: it may still be committed, at a position that is not known yet. */
  void recordInDoubt(String sessionId) {
    if (inDoubtCounts.containsKey(sessionId) || inDoubtCounts.size() < maxSessions) {
      inDoubtCounts.merge(sessionId, 1, Integer::sum);
    } else {
      untrackedInDoubtCount++;
    }
  }

  /** Records that one write in doubt cannot be committed after {@code position} any more. */
  void settle(String sessionId, LogPosition position) {
    if (inDoubtCounts.containsKey(sessionId)) {
      inDoubtCounts.computeIfPresent(sessionId, (s, n) -> n == 1 ? null : n - 1);
    } else if (untrackedInDoubtCount > 0) {
      untrackedInDoubtCount--;
    }
    recordWrite(sessionId, position);
  }

  /**
   * Returns whether the session may have a write in doubt. No position covers such a write, so only
   * the primary is sure to hold it. Once the limit on sessions has been exceeded by writes in
   * doubt, this holds for every session until the untracked ones are settled.
   */
  boolean hasInDoubt(String sessionId) {
    return untrackedInDoubtCount > 0 || inDoubtCounts.containsKey(sessionId);
  }

  /** Returns the position that reads of the session must see. */
  LogPosition floor(String sessionId) {
    @Nullable LogPosition own = positions.get(sessionId);
    return own == null ? sharedFloor : own.max(sharedFloor);
  }

  /** Records that no write in doubt can be committed after {@code position} any more. */
  void settleAll(LogPosition position) {
    inDoubtCounts.clear();
    untrackedInDoubtCount = 0;
    raiseSharedFloor(position);
  }

  /**
   * Removes the writes up to {@code offset} of the current log, which all replicas in use have
   * replayed. The shared floor is raised instead, since replicas that return or are added later may
   * lack these writes.
   */
  void removeCovered(long offset) {
    for (Iterator<LogPosition> i = positions.values().iterator(); i.hasNext(); ) {
      LogPosition position = i.next();
      if (position.offset() <= offset) {
        raiseSharedFloor(position);
        i.remove();
      }
    }
  }

  /** Returns the number of sessions whose last write is kept. */
  int size() {
    return positions.size();
  }
}
