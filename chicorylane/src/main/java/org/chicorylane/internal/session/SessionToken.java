package org.chicorylane.internal.session;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.chicorylane.internal.position.LogPosition;

/**
 * What a session has seen: for each database group, the log position that its next request must
 * see.
 *
 * <pre>{@code
 * SessionToken token = SessionToken.fresh(sessionIds.next());
 * token = token.advance("ledger", new LogPosition(1, 4_096));
 * token.floor("ledger"); // Optional[1/4096]
 * }</pre>
 *
 * <p>Immutable and thread-safe. Advancing never moves a group's position back, so tokens of answers
 * that arrive out of order may be applied in any order.
 *
 * @param sessionId the session's id, not empty
 * @param positions the position per group name
 */
public record SessionToken(String sessionId, Map<String, LogPosition> positions) {

  /**
   * Copies the positions.
   *
   * @throws IllegalArgumentException if the session id is empty
   */
  public SessionToken {
    if (sessionId.isEmpty()) {
      throw new IllegalArgumentException("a session token without a session id");
    }
    positions = Map.copyOf(positions);
  }

  /** Returns the token of a session that has seen nothing yet. */
  public static SessionToken fresh(String sessionId) {
    return new SessionToken(sessionId, Map.of());
  }

  /** Returns the position that the session must see in {@code group}, if it has one there. */
  public Optional<LogPosition> floor(String group) {
    return Optional.ofNullable(positions.get(group));
  }

  /** Returns a token that has also seen {@code position} of {@code group}. */
  public SessionToken advance(String group, LogPosition position) {
    Map<String, LogPosition> later = new HashMap<>(positions);
    later.merge(group, position, LogPosition::max);
    return new SessionToken(sessionId, later);
  }

  /** Returns a token that knows nothing of {@code group}. */
  public SessionToken without(String group) {
    Map<String, LogPosition> fewer = new HashMap<>(positions);
    fewer.remove(group);
    return new SessionToken(sessionId, fewer);
  }
}
