package org.chicorylane.internal.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.statement.Statement;
import org.jspecify.annotations.Nullable;

/**
 * A validated request of a caller, which an entry sends to the home of a database group.
 *
 * <p>Immutable and thread-safe.
 *
 * @param requestId the unique id of the request in logs and answers
 * @param group the name of the database group
 * @param kind the kind of request
 * @param statements the statements in order; empty for BEGIN, COMMIT and ROLLBACK
 * @param requestClass the name of the declared request class
 * @param maximumAge the maximum age of the data that a READ accepts (bounded staleness); null if
 *     only read-your-writes applies
 * @param sessionId the session's id; null for a request without a session
 * @param floor the position that a read of the session must see; null if it has none in this group
 * @param idempotencyKey the caller's idempotency key; null if none
 * @param repeatable whether the request may be run more than once
 * @param transaction the handle of an interactive transaction; null outside one
 * @param deadline when the caller stops waiting; in the time of the local clock
 */
public record GroupRequest(
    String requestId,
    String group,
    RequestKind kind,
    List<Statement> statements,
    String requestClass,
    @Nullable Duration maximumAge,
    @Nullable String sessionId,
    @Nullable LogPosition floor,
    @Nullable String idempotencyKey,
    boolean repeatable,
    @Nullable String transaction,
    Instant deadline) {

  /** Copies the list of statements. */
  public GroupRequest {
    statements = List.copyOf(statements);
  }
}
