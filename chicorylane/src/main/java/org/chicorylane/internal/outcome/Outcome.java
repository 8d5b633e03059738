package org.chicorylane.internal.outcome;

import java.time.Duration;
import java.util.List;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.statement.StatementResult;
import org.jspecify.annotations.Nullable;

/**
 * What became of a request. Every request ends in exactly one outcome.
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
   * @param results a result per statement
   * @param position the position that the session must see from now on; null for reads
   * @param replayed whether the results were stored by an earlier try with the same idempotency key
   * @param servedBy the name of the backend server
   * @param fromReplica whether that server was a replica
   * @param transaction the handle of the interactive transaction that is open now; null if none
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
   * The database ran a statement and refused it; nothing of the request remains.
   *
   * @param sqlState the five characters of SQLSTATE
   * @param message the database's message
   * @param statementIndex the index of the refused statement, from 0
   */
  record Rejected(String sqlState, String message, int statementIndex) implements Outcome {}

  /**
   * The request was not run and will not be.
   *
   * @param reason why
   * @param retryAfter when to come back; zero if a retry cannot help
   * @param detail what exactly, for people
   */
  record NotRun(NotRunReason reason, Duration retryAfter, String detail) implements Outcome {}

  /**
   * Whether the request ran cannot be told. A request with an idempotency key may be sent again to
   * find out.
   *
   * @param retryAfter when to ask again
   * @param detail what exactly, for people
   */
  record Unknown(Duration retryAfter, String detail) implements Outcome {}
}
