package org.chicorylane.internal.home;

import java.util.List;
import org.chicorylane.internal.statement.StatementResult;

/** What became of a request on a backend connection. */
sealed interface ExecutionResult {

  /**
   * The transaction committed on the server.
   *
   * @param results a result per statement
   * @param offset a log offset that is not before the commit; 0 for reads
   * @param replayed whether the results come from the ledger
   */
  record Committed(List<StatementResult> results, long offset, boolean replayed)
      implements ExecutionResult {}

  /** The statements ran and their transaction is still open. */
  record StillOpen(List<StatementResult> results) implements ExecutionResult {}

  /** The server refused a statement, and the transaction was rolled back. */
  record Refused(String sqlState, String message, int statementIndex) implements ExecutionResult {}

  /** The idempotency key belongs to another request; nothing was run. */
  record KeyReused() implements ExecutionResult {}

  /** The connection was lost; whether the transaction committed cannot be told. */
  record InDoubt(String reason) implements ExecutionResult {}
}
