package org.chicorylane.internal.backend;

import org.chicorylane.internal.statement.StatementResult;

/** What became of one statement on one connection. */
public sealed interface StatementOutcome {

  /** The server ran it. */
  record Ran(StatementResult result) implements StatementOutcome {}

  /**
   * The server refused it, or the client could not encode its parameters.
   *
   * @param sqlState the five characters of SQLSTATE
   * @param message the server's message
   */
  record Refused(String sqlState, String message) implements StatementOutcome {}

  /**
   * The connection was lost before the answer came; the statement may have run.
   *
   * @param reason why, for people
   */
  record Lost(String reason) implements StatementOutcome {}
}
