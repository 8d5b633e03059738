package org.chicorylane.internal.passthrough;

/** Why a statement failed. */
public enum FailureCode {
  /** The statement was not run because capacity is lacking. */
  OVERLOADED(true),
  /** The transaction was rolled back. */
  ABORTED(true),
  /** The server's log has not reached the required position. */
  REPLICA_BEHIND(true),
  /** The server is not the primary. */
  NOT_PRIMARY(true),
  /** The server at the address is not the expected one. */
  WRONG_SERVER(true),
  /** The server accepts no more connections. */
  TOO_MANY_CONNECTIONS(true),
  /** No statement is prepared under this name. */
  NOT_PREPARED(true),
  /** The statement ran and failed. */
  FAILED(false),
  /** The statement took too long; it may have run. */
  TIMEOUT(false),
  /** It is unknown whether the statement took effect. */
  IN_DOUBT(false),
  /** No route exists for the database. */
  UNKNOWN_DATABASE(true),
  /** The statement is too large. */
  TOO_LARGE(true),
  /** The statement cannot be parsed or is not allowed in the current transaction state. */
  MALFORMED(true),
  /** The client's key gives access to no account. */
  UNKNOWN_KEY(true);

  private final boolean hasNoEffect;

  FailureCode(boolean hasNoEffect) {
    this.hasNoEffect = hasNoEffect;
  }

  /** Returns whether the code guarantees that the statement has no lasting effect. */
  public boolean guaranteesNoEffect() {
    return hasNoEffect;
  }
}
