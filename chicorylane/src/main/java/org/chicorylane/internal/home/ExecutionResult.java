package org.chicorylane.internal.home;

import java.util.List;
import org.chicorylane.internal.statement.StatementResult;

/** The result of running a request on a backend connection. */
sealed interface ExecutionResult {

  /**
   * The transaction committed on the server.
   *
   * @param results one result per statement
   * @param offset a log offset at or after the commit; 0 for reads and rollbacks
   * @param replayed whether the results were stored in the request ledger by an earlier attempt
   */
  record Committed(List<StatementResult> results, long offset, boolean replayed)
      implements ExecutionResult {}

  /** The statements were run and their transaction is still open. */
  record StillOpen(List<StatementResult> results) implements ExecutionResult {}

  /** The server rejected a statement and the transaction was rolled back. */
  record Refused(String sqlState, String message, int statementIndex) implements ExecutionResult {}

  /** The idempotency key belongs to another request; no statement of this request was run. */
  record KeyReused() implements ExecutionResult {}

  /** The connection was lost, so it is not known whether the transaction committed. */
  record InDoubt(String reason) implements ExecutionResult {}
}
