package org.chicorylane.internal.pool;

import org.jspecify.annotations.Nullable;

/** A transaction that holds a connection between its statements. */
final class PoolTransaction {

  /**
   * Names a transaction.
   *
   * @param owner the link of the entry that it came over
   * @param number its number there
   */
  record Key(Object owner, long number) {}

  final Key key;
  final boolean readOnly;
  @Nullable PooledConnection connection;
  boolean wrote;
  boolean begun;
  boolean abandoned;
  boolean running;
  long lastUsedNanos;

  PoolTransaction(Key key, boolean readOnly) {
    this.key = key;
    this.readOnly = readOnly;
  }
}
