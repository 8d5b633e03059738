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
  record Key(Object owner, long number) {

    // Written out so that a starting process links no method handles for it.
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
