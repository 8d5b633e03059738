package org.chicorylane.internal.passthrough;

/** Why a statement failed. */
public enum FailureCode {
  /** Nothing ran for lack of capacity. */
  OVERLOADED(true),
  /** The transaction is rolled back. */
  ABORTED(true),
  /** The server's log lacks the position that was asked for. */
  REPLICA_BEHIND(true),
  /** The server is not the primary. */
  NOT_PRIMARY(true),
  /** The server is another one than was expected. */
  WRONG_SERVER(true),
  /** The server has no room for a connection. */
  TOO_MANY_CONNECTIONS(true),
  /** The server does not know the prepared statement. */
  NOT_PREPARED(true),
  /** The statement ran and failed. */
  FAILED(false),
  /** The statement may have run and took too long. */
  TIMEOUT(false),
  /** It is unknown whether the statement took effect. */
  IN_DOUBT(false),
  /** No route has the database's name. */
  UNKNOWN_DATABASE(true),
  /** The statement is too large. */
  TOO_LARGE(true),
  /** The statement is not understood, or not allowed in the transaction's state. */
  MALFORMED(true);

  private final boolean nothingRan;

  FailureCode(boolean nothingRan) {
    this.nothingRan = nothingRan;
  }

  /** Returns whether the code promises that nothing of the statement is kept. */
  public boolean guaranteesNoEffect() {
    return nothingRan;
  }
}
