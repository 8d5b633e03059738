package org.chicorylane.internal.pool;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.chicorylane.internal.account.ClientAccounts;
import org.jspecify.annotations.Nullable;

/**
 * Priority queue of the statements that wait for a server, ordered by {@link QueuedWork#ORDER}.
 *
 * <p>Confined to the instance's thread.
 */
final class WorkQueue implements Iterable<QueuedWork> {

  /** Shorter queues are not searched for late statements: they empty before the order matters. */
  private static final int MIN_SIZE_FOR_LATE_CHECK = 4;

  /** Minimum share of the servers' slots that statements of any rank are expected to get. */
  private static final double MIN_SLOT_SHARE = 0.05;

  /** Interval between searches for late statements; short compared with clients' target times. */
  private static final long LATE_CHECK_INTERVAL_NANOS = Duration.ofMillis(5).toNanos();

  private final TreeSet<QueuedWork> waiting = new TreeSet<>(QueuedWork.ORDER);

  /** Service times of the waiting statements by rank. There are few distinct ranks. */
  private final TreeMap<Long, Count> counts = new TreeMap<>();

  private final RankLoad load = new RankLoad();
  private final AccountShares shares = new AccountShares();
  private final ReservedSlots reserved = new ReservedSlots();
  private long lastLateCheckNanos = Long.MIN_VALUE / 2;

  /** Sets the client accounts that share the servers, null if none are declared. */
  void setAccounts(@Nullable ClientAccounts accounts) {
    shares.setAccounts(accounts);
  }

  /** Gives work that has just arrived its place among the accounts, before it is added. */
  void place(QueuedWork item) {
    if (waiting.isEmpty()) {
      shares.reset();
    }
    shares.place(item);
  }

  void add(QueuedWork item) {
    if (waiting.add(item)) {
      shares.charge(item);
      reserved.onAdded(item);
      counts.computeIfAbsent(item.rank(), rank -> new Count()).add(item, 1);
    }
  }

  private void onRemoved(QueuedWork item) {
    reserved.onRemoved(item);
    Count count = counts.get(item.rank());
    if (count != null && count.add(item, -1) == 0) {
      counts.remove(item.rank());
    }
  }

  /** Records that removed work will not be run, so that its account is not charged for it. */
  void refund(QueuedWork item) {
    shares.refund(item);
  }

  /**
   * Returns the statement that goes before all others, so that its priority is not starved; null if
   * there is none. Only declared accounts have such a claim.
   */
  @Nullable QueuedWork findStarved() {
    Long rank = shares.isActive() ? reserved.dueRank() : null;
    if (rank == null) {
      return null;
    }
    for (QueuedWork item : waiting) {
      if (item.priorityRank() == rank && !item.continuesTransaction()) {
        return item;
      }
    }
    return null;
  }

  void remove(QueuedWork item) {
    if (waiting.remove(item)) {
      onRemoved(item);
    }
  }

  int size() {
    return waiting.size();
  }

  boolean isEmpty() {
    return waiting.isEmpty();
  }

  /** Returns an iterator in dispatch order that supports removal. */
  @Override
  public Iterator<QueuedWork> iterator() {
    Iterator<QueuedWork> delegate = waiting.iterator();
    return new Iterator<>() {
      private @Nullable QueuedWork last;

      @Override
      public boolean hasNext() {
        return delegate.hasNext();
      }

      @Override
      public QueuedWork next() {
        QueuedWork next = delegate.next();
        last = next;
        return next;
      }

      @Override
      public void remove() {
        delegate.remove();
        if (last != null) {
          onRemoved(last);
        }
      }
    };
  }

  /** Removes and returns the statements that satisfy {@code condition}, in order. */
  List<QueuedWork> removeMatching(Predicate<QueuedWork> condition) {
    List<QueuedWork> taken = new ArrayList<>();
    for (Iterator<QueuedWork> iterator = iterator(); iterator.hasNext(); ) {
      QueuedWork item = iterator.next();
      if (condition.test(item)) {
        iterator.remove();
        taken.add(item);
      }
    }
    return taken;
  }

  /**
   * Removes and returns the statements that have become late, marked as such. The caller adds them
   * again, behind those in time, or refuses them. Returns none if the queue is short or the last
   * search was too recent.
   */
  List<QueuedWork> removeNewlyLate(long nowNanos) {
    List<QueuedWork> late = new ArrayList<>();
    if (waiting.size() < MIN_SIZE_FOR_LATE_CHECK
        || nowNanos - lastLateCheckNanos < LATE_CHECK_INTERVAL_NANOS) {
      return late;
    }
    lastLateCheckNanos = nowNanos;
    late.addAll(removeMatching(item -> !item.late && item.wouldMissTarget(nowNanos)));
    late.forEach(item -> item.late = true);
    return late;
  }

  /** Records that a statement is sent to a server. */
  void onDispatched(QueuedWork item, long nowNanos) {
    load.onDispatched(item, nowNanos);
    shares.onDispatched(item);
    reserved.onDispatched(item);
  }

  /**
   * Returns the expected time in milliseconds until a server takes work that arrives now, or -1 if
   * no server can.
   *
   * @param slots the slots of the servers that may run the work
   * @param sharedServer whether work for replicas and work for the primary wait for the same server
   */
  long expectedWaitMillis(QueuedWork item, double slots, boolean sharedServer, long nowNanos) {
    if (slots == 0) {
      return -1;
    }
    double nanosAhead = 0;
    for (Count count : counts.headMap(item.rank(), true).values()) {
      nanosAhead += sharedServer ? count.total() : count.forSameServers(item);
    }
    double slotsLeft =
        Math.max(MIN_SLOT_SHARE * slots, slots - load.slotsAheadOf(item, nowNanos, sharedServer));
    double nanos = nanosAhead / slotsLeft;
    if (shares.isActive() && !item.late && item.excess == 0) {
      nanos = Math.min(nanos, reservedWaitNanos(item, slots, sharedServer));
    }
    return (long) (nanos / 1e6);
  }

  /** Returns the expected wait if the item's priority gets no more than what is reserved for it. */
  private double reservedWaitNanos(QueuedWork item, double slots, boolean sharedServer) {
    double nanosAhead = item.serviceNanos;
    for (Count count : counts.subMap(item.priorityRank(), true, item.rank(), true).values()) {
      nanosAhead += sharedServer ? count.total() : count.forSameServers(item);
    }
    return nanosAhead / (reserved.shareOf(item) * slots);
  }

  /** Service times of the waiting statements of one rank, by whether replicas may serve them. */
  private static final class Count {
    private int statements;
    private double forReplicas;
    private double forPrimary;

    /** Counts a statement, or one less, and returns the number that is left. */
    int add(QueuedWork item, int sign) {
      statements += sign;
      if (item.work.canRunOnReplica()) {
        forReplicas += sign * item.serviceNanos;
      } else {
        forPrimary += sign * item.serviceNanos;
      }
      return statements;
    }

    double total() {
      return forReplicas + forPrimary;
    }

    /** Returns the service time of statements that the same servers as for {@code item} may run. */
    double forSameServers(QueuedWork item) {
      return item.work.canRunOnReplica() ? forReplicas : forPrimary;
    }
  }
}
