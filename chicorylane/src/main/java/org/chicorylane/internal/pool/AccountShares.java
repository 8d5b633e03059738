package org.chicorylane.internal.pool;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.chicorylane.internal.account.ClientAccount;
import org.chicorylane.internal.account.ClientAccounts;
import org.jspecify.annotations.Nullable;

/**
 * Start-time fair queueing of the client accounts' statements, weighted by the accounts' rates.
 * Each route priority has a virtual time, in which a statement starts where the previous ones of
 * its account end, less an allowance for uneven arrivals, but not before the statement that was
 * dispatched last. It ends after its service time divided by the account's weight. A statement that
 * starts later than now is above its account's share.
 *
 * <p>A statement is charged to its own priority and to the less urgent ones, so that an account
 * spends its share on its most urgent statements first.
 *
 * <pre>{@code
 * shares.place(item);
 * shares.charge(item);
 * shares.onDispatched(item);
 * }</pre>
 *
 * <p>Without declared accounts, no statement is above a share.
 *
 * <p>Confined to the instance's thread.
 */
final class AccountShares {

  /** Statements of an account that may arrive at once and still be within its share. */
  private static final double ALLOWED_STATEMENTS = 8;

  /** Number of statements above the share up to which the excess is small. */
  private static final double SMALL_EXCESS = 4;

  /** Number of statements above the share from which the excess is large. */
  private static final double LARGE_EXCESS = 16;

  /** Virtual starts that differ by less than this many nanoseconds are equal. */
  private static final double ROUND_NANOS = 10e6;

  /** Number of accounts of a priority beyond which those without a backlog are removed. */
  private static final int MAX_IDLE_ACCOUNTS = 1_024;

  /** Rates in statements per second from here on limit nothing, and say nothing of a share. */
  private static final double UNLIMITED_RATE = 1e12;

  private final TreeMap<Integer, PriorityShares> byPriority = new TreeMap<>();
  private @Nullable ClientAccounts accounts;

  /** Mean rate of the declared accounts with a rate; their weights are relative to it. */
  private double meanRate = 1;

  /** Priority of accounts that are not declared: that of the least urgent declared account. */
  private int lastPriority;

  /** Sets the declared accounts, null if none are declared. */
  void setAccounts(@Nullable ClientAccounts declared) {
    accounts = declared;
    if (declared == null) {
      byPriority.clear();
      return;
    }
    meanRate =
        declared.all().stream()
            .mapToDouble(ClientAccount::ratePerSecond)
            .filter(rate -> rate > 0 && rate < UNLIMITED_RATE)
            .average()
            .orElse(1);
    lastPriority = declared.all().stream().mapToInt(ClientAccount::priority).max().orElse(0);
  }

  /** Returns whether accounts are declared. */
  boolean isActive() {
    return accounts != null;
  }

  /** Makes all accounts equal again, because no statement waits. */
  void reset() {
    byPriority.values().forEach(PriorityShares::reset);
  }

  /** Sets the account's priority and the place that the statement would get if it was queued. */
  void place(QueuedWork item) {
    if (accounts == null || item.work.access() == null) {
      return;
    }
    ClientAccount account = accounts.findByName(item.work.account());
    item.accountPriority = account == null ? lastPriority : account.priority();
    PriorityShares shares =
        byPriority.computeIfAbsent(item.work.priority(), priority -> new PriorityShares());
    double nanos = item.serviceNanos / weightOf(account);
    double start = shares.startOf(item.work.account(), ALLOWED_STATEMENTS * nanos);
    item.virtualNanos = nanos;
    double excess = (start - shares.now) / nanos;
    item.excess = excess == 0 ? 0 : excess < SMALL_EXCESS ? 1 : excess < LARGE_EXCESS ? 2 : 3;
    item.round = item.excess > 0 ? (long) (start / ROUND_NANOS) : 0;
  }

  /** Charges the service time of a placed statement to its account, once. */
  void charge(QueuedWork item) {
    if (item.virtualNanos > 0 && item.charges.isEmpty()) {
      String account = item.work.account();
      double allowance = ALLOWED_STATEMENTS * item.virtualNanos;
      for (PriorityShares shares : byPriority.tailMap(item.work.priority(), true).values()) {
        item.charges.add(new Charge(shares, shares.startOf(account, allowance)));
        shares.add(account, item.virtualNanos);
      }
    }
  }

  /** Gives back what was charged for a statement that no server will run. */
  void refund(QueuedWork item) {
    item.charges.forEach(c -> c.shares.subtract(item.work.account(), item.virtualNanos));
    item.charges.clear();
  }

  /** Advances the virtual times to the start of a statement that is sent to a server. */
  void onDispatched(QueuedWork item) {
    if (!item.continuesTransaction()) {
      item.charges.forEach(c -> c.shares.now = Math.max(c.shares.now, c.start));
    }
  }

  /**
   * What a statement takes of its account's share at one priority.
   *
   * @param start the virtual time at which the statement starts, in nanoseconds
   */
  record Charge(PriorityShares shares, double start) {}

  private double weightOf(@Nullable ClientAccount account) {
    return account == null || account.ratePerSecond() == 0 ? 1 : account.ratePerSecond() / meanRate;
  }

  /** The accounts' shares at one priority. All times are virtual, in nanoseconds. */
  static final class PriorityShares {
    private final Map<String, Double> ends = new HashMap<>();
    private double now;
    private double lastEnd;

    double startOf(String account, double allowance) {
      return Math.max(now, ends.getOrDefault(account, 0.0) - allowance);
    }

    void add(String account, double nanos) {
      if (ends.size() > MAX_IDLE_ACCOUNTS) {
        ends.values().removeIf(end -> end <= now);
      }
      double end = startOf(account, 0) + nanos;
      ends.put(account, end);
      lastEnd = Math.max(lastEnd, end);
    }

    void subtract(String account, double nanos) {
      ends.computeIfPresent(account, (name, end) -> end - nanos);
    }

    void reset() {
      now = Math.max(now, lastEnd);
    }
  }
}
