package org.chicorylane.internal.pool;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** A piece of work that waits in the queue or runs on a server, with its dispatch state. */
final class QueuedWork {

  /**
   * Orders statements of running transactions first, since these hold a connection; then statements
   * that can still be answered within their target time before those that cannot, so that a backlog
   * does not delay all statements beyond their targets; then statements within their account's
   * share before those above it, the further the later, so that an account that sends too much
   * waits for itself; then by the route's priority and the account's; then, above the shares, by
   * the part of the share; then shorter statements before longer ones, so that as many callers as
   * possible are served; then by arrival.
   */
  static final Comparator<QueuedWork> ORDER = QueuedWork::compare;

  /** Statements of one priority whose expected service times differ by less than this are equal. */
  private static final double SERVICE_TIME_STEP = 1.25;

  /**
   * Service times that must fit before the target time, because service times vary and the answer
   * still has to travel.
   */
  private static final double SERVICE_TIMES_TO_TARGET = 2;

  private static final int MAX_SERVICE_RANK = 255;
  private static final int MAX_ACCOUNT_PRIORITY = 255;
  private static final int MAX_ROUTE_PRIORITY = 2_047;
  private static final long MAX_ROUND = 0xffff_ffffL;

  private static final int ROUND_SHIFT = 8;
  private static final int ACCOUNT_PRIORITY_SHIFT = ROUND_SHIFT + 32;
  private static final int ROUTE_PRIORITY_SHIFT = ACCOUNT_PRIORITY_SHIFT + 8;
  private static final int EXCESS_SHIFT = ROUTE_PRIORITY_SHIFT + 11;
  private static final int LATE_SHIFT = EXCESS_SHIFT + 2;

  private static final double MICROSECOND_NANOS = 1e3;

  /** The link to the entry from which the work came. */
  final Object owner;

  final Work work;
  final WorkHandler handler;
  final long arrivedNanos;
  final long sequence;
  final @Nullable PoolTransaction transaction;

  /** Time that the work is expected to occupy a server's slot, in nanoseconds. */
  final double serviceNanos;

  private final int serviceRank;
  private final boolean hadConnectionOnArrival;

  /** Whether the target time can no longer be met. Affects the order. */
  boolean late;

  /** Time at which no connection of the account was idle; 0 if the work always found one. */
  long lackedConnectionNanos;

  /** The priority of the account under which the work runs; 0 if no accounts are declared. */
  int accountPriority;

  /** Start in the priority's virtual time, in rounds; 0 within the account's share. */
  long round;

  /**
   * How far its account was above its share when the work arrived: 0 if it was not, 1 for a small
   * excess, 2 for a larger one, 3 for a large one.
   */
  int excess;

  /** Virtual time that the work takes, in nanoseconds; 0 if it runs under no account. */
  double virtualNanos;

  /** What is charged to the account. */
  final List<AccountShares.Charge> charges = new ArrayList<>(0);

  /** The wait that was expected when the work arrived, in milliseconds; -1 if no server could. */
  long expectedWaitMillis = -1;

  int attempts;
  long notBeforeNanos;

  /** Whether nobody waits for the outcome any more, so that the work must not be sent again. */
  private boolean abandoned;

  /** The replica that must not run the next attempt; null if any may. */
  @Nullable String excludedReplicaId;

  QueuedWork(
      Object owner,
      Work work,
      WorkHandler handler,
      long arrivedNanos,
      long sequence,
      @Nullable PoolTransaction transaction,
      double serviceNanos) {
    this.owner = owner;
    this.work = work;
    this.handler = handler;
    this.arrivedNanos = arrivedNanos;
    this.sequence = sequence;
    this.transaction = transaction;
    this.serviceNanos = serviceNanos;
    this.serviceRank = rankOfServiceTime(serviceNanos);
    this.hadConnectionOnArrival = transaction != null && transaction.connection != null;
  }

  /** Returns the number of steps from one microsecond to the service time. */
  private static int rankOfServiceTime(double nanos) {
    double steps = Math.log(nanos / MICROSECOND_NANOS) / Math.log(SERVICE_TIME_STEP);
    return (int) Math.max(0, Math.min(MAX_SERVICE_RANK, Math.round(steps)));
  }

  private static int compare(QueuedWork a, QueuedWork b) {
    int byRank = Long.compare(a.rank(), b.rank());
    return byRank != 0 ? byRank : Long.compare(a.sequence, b.sequence);
  }

  /** Returns the rank, without regard to the time of arrival; lower ranks are dispatched first. */
  long rank() {
    if (hadConnectionOnArrival) {
      return work.priority();
    }
    return priorityRank() + (Math.min(MAX_ROUND, round) << ROUND_SHIFT) + serviceRank;
  }

  /** Returns the rank without the part of the account's share. There are few such ranks. */
  long loadRank() {
    return hadConnectionOnArrival ? work.priority() : priorityRank() + serviceRank;
  }

  /** Returns the lowest rank of new work that has the same priorities and is as late. */
  long priorityRank() {
    long route = Math.max(0, Math.min(MAX_ROUTE_PRIORITY, work.priority()));
    long account = Math.max(0, Math.min(MAX_ACCOUNT_PRIORITY, accountPriority));
    return ((late ? 2L : 1L) << LATE_SHIFT)
        + ((long) excess << EXCESS_SHIFT)
        + (route << ROUTE_PRIORITY_SHIFT)
        + (account << ACCOUNT_PRIORITY_SHIFT);
  }

  /** Returns whether the work belongs to a transaction that had its connection on arrival. */
  boolean continuesTransaction() {
    return hadConnectionOnArrival;
  }

  /** Returns whether the answer would miss the target time if the work was dispatched now. */
  boolean wouldMissTarget(long nowNanos) {
    return nowNanos - arrivedNanos > maxTimelyWaitMillis() * 1e6;
  }

  /** Returns the time in milliseconds that the work can wait and still be answered in time. */
  double maxTimelyWaitMillis() {
    return Math.max(0, work.targetMillis() - SERVICE_TIMES_TO_TARGET * serviceNanos / 1e6);
  }

  /** Returns the time at which the client gives up. */
  long deadlineNanos() {
    return arrivedNanos + work.budgetMillis() * 1_000_000L;
  }

  /** Records that nobody waits for the outcome any more. */
  void abandon() {
    abandoned = true;
  }

  /** Returns whether nobody waits for the outcome of the work, or of its transaction, any more. */
  boolean isAbandoned() {
    return abandoned || (transaction != null && transaction.abandoned);
  }

  /** Returns whether the work continues a transaction that has begun on a server. */
  boolean isPinned() {
    return transaction != null && transaction.begun;
  }
}
