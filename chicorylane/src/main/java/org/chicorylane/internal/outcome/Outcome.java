package org.chicorylane.internal.outcome;

import java.time.Duration;
import java.util.List;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.statement.StatementResult;
import org.jspecify.annotations.Nullable;

/**
 * The outcome of a request. Every request ends in exactly one outcome.
 *
 * <pre>{@code
 * if (outcome instanceof Outcome.NotRun notRun) {
 *   retryLater(notRun.retryAfter());
 * }
 * }</pre>
 *
 * <p>Immutable and thread-safe.
 */
public sealed interface Outcome {

  /**
   * The request ran and its effects, if any, are acknowledged.
   *
   * @param results one result per statement
   * @param position the log position that the session must see from now on; null for reads
   * @param replayed whether the results were stored by an earlier attempt with the same idempotency
   *     key
   * @param servedBy the name of the backend server that ran the request
   * @param fromReplica whether this server was a replica
   * @param transaction the handle of the interactive transaction that is open now; null if there is
   *     none
   */
  record Completed(
      List<StatementResult> results,
      @Nullable LogPosition position,
      boolean replayed,
      String servedBy,
      boolean fromReplica,
      @Nullable String transaction)
      implements Outcome {}

  /**
   * The database rejected a statement, and no effect of the request remains.
   *
   * @param sqlState the five-character SQLSTATE code
   * @param message the error message of the database
   * @param statementIndex the zero-based index of the rejected statement
   */
  record Rejected(String sqlState, String message, int statementIndex) implements Outcome {}

  /**
   * The request was not run and will not be.
   *
   * @param reason the reason why it was not run
   * @param retryAfter how long to wait before a retry; zero if a retry cannot help
   * @param detail a description for people
   */
  record NotRun(NotRunReason reason, Duration retryAfter, String detail) implements Outcome {}

  /**
   * It is unknown whether the request took effect. A request with an idempotency key may be sent
   * again to find out.
   *
   * @param retryAfter how long to wait before the request is sent again
   * @param detail a description for people
   */
  record Unknown(Duration retryAfter, String detail) implements Outcome {}
}
