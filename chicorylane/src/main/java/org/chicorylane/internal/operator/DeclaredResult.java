package org.chicorylane.internal.operator;

/** What became of reading all documents. Immutable. */
sealed interface DeclaredResult {

  /** The documents. */
  record Read(DeclaredSet declared) implements DeclaredResult {}

  /** The store did not answer or refused. */
  record Unavailable(String reason) implements DeclaredResult {}
}
