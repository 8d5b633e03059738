package org.chicorylane.internal.operator;

/** The result of reading all documents from the store. Immutable. */
sealed interface SnapshotResult {

  /** The documents were read. */
  record Read(ResourceSnapshot snapshot) implements SnapshotResult {}

  /** The store did not respond or refused the request. */
  record Unavailable(String reason) implements SnapshotResult {}
}
