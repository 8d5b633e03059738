package org.chicorylane.internal.pool;

import java.util.Comparator;
import org.jspecify.annotations.Nullable;

/** A piece of work that waits in the queue or runs on a server, with its dispatch state. */
final class QueuedWork {

  /**
   * Orders statements of running transactions first, since these hold a connection; then statements
   * that can still be answered within their target time before those that cannot, so that a backlog
   * does not delay all statements beyond their targets; then by priority and arrival.
   */
  static final Comparator<QueuedWork> ORDER = QueuedWork::compare;

  final Work work;
  final WorkHandler handler;
  final long arrivedNanos;
  final long sequence;
  final @Nullable PoolTransaction transaction;
  private final boolean hadConnectionOnArrival;

  /** Whether the target time can no longer be met. Affects the order. */
  boolean late;

  int attempts;
  long notBeforeNanos;

  /** The replica that must not run the next attempt; null if any may. */
  @Nullable String excludedReplicaId;

  QueuedWork(
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
    this.hadConnectionOnArrival = transaction != null && transaction.connection != null;
  }

  private static int compare(QueuedWork a, QueuedWork b) {
    int byRank = Long.compare(a.rank(), b.rank());
    return byRank != 0 ? byRank : Long.compare(a.sequence, b.sequence);
  }

  /** Returns the rank, without regard to the time of arrival; lower ranks are dispatched first. */
  long rank() {
    long group = hadConnectionOnArrival ? 0 : late ? 2 : 1;
    return (group << Integer.SIZE) + work.priority();
  }

  /** Returns whether the answer would miss the target time if the work was dispatched now. */
  boolean wouldMissTarget(long nowNanos, double serviceNanos) {
    return nowNanos + serviceNanos > arrivedNanos + work.targetMillis() * 1_000_000L;
  }

  /** Returns the time at which the client gives up. */
  long deadlineNanos() {
    return arrivedNanos + work.budgetMillis() * 1_000_000L;
  }

  /** Returns whether the work continues a transaction that has begun on a server. */
  boolean isPinned() {
    return transaction != null && transaction.begun;
  }
}
