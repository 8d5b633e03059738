package org.chicorylane.internal.backend;

import org.chicorylane.internal.statement.StatementResult;

/** The outcome of one statement on one connection. */
public sealed interface StatementOutcome {

  /** The server ran the statement. */
  record Ran(StatementResult result) implements StatementOutcome {}

  /**
   * The server rejected the statement, or the client could not encode its parameters.
   *
   * @param sqlState the SQLSTATE code of five characters
   * @param message the error message of the server or the client
   */
  record Refused(String sqlState, String message) implements StatementOutcome {}

  /**
   * The connection was lost before the response arrived; the statement may have run.
   *
   * @param reason the reason, for logs and messages
   */
  record Lost(String reason) implements StatementOutcome {}
}
