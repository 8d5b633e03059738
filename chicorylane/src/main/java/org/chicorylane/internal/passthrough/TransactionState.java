package org.chicorylane.internal.passthrough;

/** Where a session is, as an answer says. */
public enum TransactionState {
  IDLE,
  OPEN,
  FAILED
}
