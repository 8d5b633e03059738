package org.chicorylane.internal.pool;

import java.util.Comparator;
import org.jspecify.annotations.Nullable;

/** A piece of work that waits for a server, or runs there. */
final class Waiting {

  /**
   * Statements of running transactions first, since they hold a connection; then those that can
   * still be answered in the time that their clients hope for, so that a backlog does not make
   * everybody late; then by priority and arrival.
   */
  static final Comparator<Waiting> ORDER = Waiting::compare;

  final Work work;
  final WorkHandler handler;
  final long arrivedNanos;
  final long sequence;
  final @Nullable PoolTransaction transaction;
  private final boolean pinned;
  boolean late;
  int attempts;
  long notBeforeNanos;
  @Nullable String avoid;

  Waiting(
      Work work,
      WorkHandler handler,
      long arrivedNanos,
      long sequence,
      @Nullable PoolTransaction transaction) {
    this.work = work;
    this.handler = handler;
    this.arrivedNanos = arrivedNanos;
    this.sequence = sequence;
    this.transaction = transaction;
    this.pinned = transaction != null && transaction.connection != null;
  }

  private static int compare(Waiting a, Waiting b) {
    int byRank = Long.compare(a.rank(), b.rank());
    return byRank != 0 ? byRank : Long.compare(a.sequence, b.sequence);
  }

  /** Returns a number that is lower for what goes first, whenever it arrived. */
  long rank() {
    long order = pinned ? 0 : late ? 2 : 1;
    return (order << Integer.SIZE) + work.priority();
  }

  /** Returns whether its answer would come later than hoped for, if it began now. */
  boolean misses(long nowNanos, double serviceNanos) {
    return nowNanos + serviceNanos > arrivedNanos + work.targetMillis() * 1_000_000L;
  }

  /** Returns when its client gives up. */
  long deadlineNanos() {
    return arrivedNanos + work.budgetMillis() * 1_000_000L;
  }

  /** Returns whether it continues a transaction that has begun on a server. */
  boolean isPinned() {
    return transaction != null && transaction.begun;
  }
}
