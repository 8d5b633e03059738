package org.chicorylane.internal.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.statement.Statement;
import org.jspecify.annotations.Nullable;

/**
 * A checked request of a caller, on its way from an entry to the home of a database group.
 *
 * <p>Immutable and thread-safe.
 *
 * @param requestId identifies the request in logs and answers; unique
 * @param group the name of the database group
 * @param kind what is asked
 * @param statements the statements in order; empty for BEGIN, COMMIT and ROLLBACK
 * @param requestClass the name of the declared request class
 * @param maximumAge the oldest data that a READ accepts; null if only read-your-writes bounds it
 * @param sessionId the session's id; null for a request without a session
 * @param floor the position that the session must see; null if it has none in this group
 * @param idempotencyKey the caller's key; null if none
 * @param repeatable whether the system may run the request more than once
 * @param transaction the handle of an interactive transaction; null outside one
 * @param deadline when the caller stops waiting, by the entry's clock
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

  /** Copies the statements. */
  public GroupRequest {
    statements = List.copyOf(statements);
  }
}
