package org.chicorylane.internal.passthrough;

/** The transaction state of a session, as reported in an answer. */
public enum TransactionState {
  IDLE,
  OPEN,
  FAILED
}
