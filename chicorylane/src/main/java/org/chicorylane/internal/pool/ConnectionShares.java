package org.chicorylane.internal.pool;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Decides how many connections to a group's servers each client account is worth. A connection is
 * worth the number of statements per second that would find no idle connection without it, by
 * Erlang's loss formula: the first connection of a small account is worth more than the sixth one
 * of a large account.
 *
 * <pre>{@code
 * shares.onTaken(Side.PRIMARY, "account-1", now);
 * double lost = shares.gainPerSecond(Side.PRIMARY, "account-1", 2, now);
 * }</pre>
 *
 * <p>Knows no servers and no connections. Not thread-safe.
 */
final class ConnectionShares {

  /** The servers among which a statement's connection may be chosen. */
  enum Side {
    /** The primary only. */
    PRIMARY,
    /** Any of the replicas. */
    REPLICAS;

    /** Returns the side of a server. */
    static Side of(PoolServer s) {
      return s.primary ? PRIMARY : REPLICAS;
    }
  }

  /** Statements sent to a server beyond its slots. */
  private static final int PIPELINED_STATEMENTS = 1;

  /** Share of a server's connections that one account may hold, whatever it has pinned. */
  private static final double MAX_SHARE = 0.5;

  /** Statements per second that another connection must save to be worth opening. */
  private static final double MIN_GAIN_PER_SECOND = 0.1;

  private final Map<Side, Map<String, AccountDemand>> demands = new EnumMap<>(Side.class);

  ConnectionShares() {
    for (Side side : Side.values()) {
      demands.put(side, new HashMap<>());
    }
  }

  private Map<String, AccountDemand> demandsOf(Side side) {
    return demands.getOrDefault(side, Map.of());
  }

  /** Records that an account takes a connection. */
  void onTaken(Side side, String account, long nowNanos) {
    demandsOf(side).computeIfAbsent(account, a -> new AccountDemand(nowNanos)).onTaken(nowNanos);
  }

  /** Records that an account gives back a connection after {@code heldNanos}. */
  void onGivenBack(Side side, String account, long heldNanos) {
    AccountDemand demand = demandsOf(side).get(account);
    if (demand != null) {
      demand.onGivenBack(heldNanos);
    }
  }

  /** Forgets what is known of an account. */
  void forget(String account) {
    demands.values().forEach(byAccount -> byAccount.remove(account));
  }

  /**
   * Returns the number of statements per second that find an idle connection only because of the
   * account's connection number {@code count}.
   *
   * @param count the number of connections of the account to the servers of the side, at least 1
   */
  double gainPerSecond(Side side, String account, int count, long nowNanos) {
    @Nullable AccountDemand demand = demandsOf(side).get(account);
    if (demand == null) {
      return 0;
    }
    double inUse = demand.connectionsInUse(nowNanos);
    double before = 1;
    double blocked = 1;
    for (int n = 1; n <= count; n++) {
      before = blocked;
      blocked = inUse * before / (n + inUse * before);
    }
    return demand.perSecond(nowNanos) * (before - blocked);
  }

  /** Returns whether another connection beyond {@code held} ones saves enough to be opened. */
  boolean isWorthAnother(Side side, String account, int held, long nowNanos) {
    return gainPerSecond(side, account, held + 1, nowNanos) >= MIN_GAIN_PER_SECOND;
  }

  /**
   * Returns the maximum number of connections of one account to a server: what it can use at the
   * same time, and not so many that the other accounts find none.
   *
   * @param pinned the number of the account's connections that transactions hold
   * @param limit the number of connections that the pool may open to the server
   */
  static int maxOfAccount(int slots, int pinned, int limit) {
    int share = Math.max(1, (int) (limit * MAX_SHARE));
    return Math.min(slots + PIPELINED_STATEMENTS + pinned, share);
  }
}
