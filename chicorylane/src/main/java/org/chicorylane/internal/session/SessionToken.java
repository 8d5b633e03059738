package org.chicorylane.internal.session;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.chicorylane.internal.position.LogPosition;

/**
 * The log positions that a session has seen. For each database group this position is the floor of
 * the session's next request, which must see at least that much of the log.
 *
 * <pre>{@code
 * SessionToken token = SessionToken.fresh(sessionIds.next());
 * token = token.advance("ledger", new LogPosition(1, 4_096));
 * token.floor("ledger"); // Optional[1/4096]
 * }</pre>
 *
 * <p>Immutable and thread-safe. Advancing never moves a group's position back, so the positions of
 * answers that arrive out of order may be applied in any order.
 *
 * @param sessionId the session's id, not empty
 * @param positions the log position by group name
 */
public record SessionToken(String sessionId, Map<String, LogPosition> positions) {

  /**
   * Makes a defensive copy of the positions.
   *
   * @throws IllegalArgumentException if the session id is empty
   */
  public SessionToken {
    if (sessionId.isEmpty()) {
      throw new IllegalArgumentException("session token has an empty session id");
    }
    positions = Map.copyOf(positions);
  }

  /** Returns the token of a new session, which has no positions yet. */
  public static SessionToken fresh(String sessionId) {
    return new SessionToken(sessionId, Map.of());
  }

  /** Returns the position that the session must see in {@code group}, or empty if it has none. */
  public Optional<LogPosition> floor(String group) {
    return Optional.ofNullable(positions.get(group));
  }

  /** Returns a token of a session that has also seen {@code position} of {@code group}. */
  public SessionToken advance(String group, LogPosition position) {
    Map<String, LogPosition> advanced = new HashMap<>(positions);
    advanced.merge(group, position, LogPosition::max);
    return new SessionToken(sessionId, advanced);
  }

  /** Returns a token without a position of {@code group}. */
  public SessionToken without(String group) {
    Map<String, LogPosition> remaining = new HashMap<>(positions);
    remaining.remove(group);
    return new SessionToken(sessionId, remaining);
  }
}
