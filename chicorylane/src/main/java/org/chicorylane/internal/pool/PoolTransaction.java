package org.chicorylane.internal.pool;

import org.jspecify.annotations.Nullable;

/** State of a transaction, which holds one connection from its first statement to its end. */
final class PoolTransaction {

  /**
   * Identifies a transaction.
   *
   * @param owner the link to the entry from which the transaction came
   * @param number the transaction's number on this link
   */
  record Key(Object owner, long number) {

    // Written by hand because the generated methods would link method handles at process start.
    @Override
    public boolean equals(@Nullable Object other) {
      return other instanceof Key k && number == k.number && owner.equals(k.owner);
    }

    @Override
    public int hashCode() {
      return 31 * owner.hashCode() + Long.hashCode(number);
    }
  }

  final Key key;
  final boolean readOnly;
  @Nullable PooledConnection connection;

  /** Whether a statement that changes data has been sent. */
  boolean wrote;

  /** Whether the transaction has been begun on its connection. */
  boolean begun;

  /** Whether the client gave up the transaction, or it is being rolled back. */
  boolean abandoned;

  /** Whether one of its statements is queued or running. */
  boolean running;

  long lastUsedNanos;

  PoolTransaction(Key key, boolean readOnly) {
    this.key = key;
    this.readOnly = readOnly;
  }
}
