package org.chicorylane.standin.database;

/** Where a session stands with its transaction. */
enum TransactionStatus {
  /** No transaction. */
  IDLE('I'),
  /** A transaction that the server began by itself; it ends with the client's Sync. */
  IMPLICIT('I'),
  /** A transaction that the client began. */
  BLOCK('T'),
  /** A transaction of the client that failed and waits for its rollback. */
  FAILED('E');

  private final char indicator;

  TransactionStatus(char indicator) {
    this.indicator = indicator;
  }

  /** Returns the code that ReadyForQuery carries. */
  char indicator() {
    return indicator;
  }

  /** Returns whether the client has a transaction open. */
  boolean open() {
    return this == BLOCK || this == FAILED;
  }
}
