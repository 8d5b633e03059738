package org.chicorylane.internal.pool;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.chicorylane.internal.passthrough.Answer;
import org.chicorylane.internal.passthrough.ServerConnector;
import org.chicorylane.internal.passthrough.ServerLink;
import org.chicorylane.internal.passthrough.TransactionState;
import org.chicorylane.internal.passthrough.UnexpectedAnswer;
import org.chicorylane.internal.pool.ConnectionShares.Side;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.runtime.DecisionLog;
import org.chicorylane.internal.runtime.Scheduler;
import org.jspecify.annotations.Nullable;

/**
 * The connections over which a pool's servers run statements: opens them before they are needed,
 * hands out idle ones, and closes those that cannot be used again. Where client accounts are
 * declared, each connection belongs to one account, and {@link ConnectionShares} decides whose idle
 * connection is closed for another.
 *
 * <pre>{@code
 * Request request = connections.request(item);
 * PoolServer best = ServerChoice.choose(servers, item, floor, halt, floors, now, request);
 * PooledConnection c = best == null ? null : connections.takeIdle(best, item.work);
 * if (c == null) {
 *   connections.openFor(request, best);
 * }
 * }</pre>
 *
 * <p>Confined to the instance's thread.
 */
final class ServerConnections {

  /**
   * Connections to each server left free for status requests and for another home, whose pool
   * overlaps with this one while the home changes.
   */
  private static final int RESERVED_CONNECTIONS = 5;

  /** Connections to one server opened at the same time; each takes up a slot for a while. */
  private static final int MAX_CONCURRENT_OPENS = 3;

  /** Time for which a connection that was opened for a statement is kept for it. */
  private static final long KEPT_FOR_STATEMENT_NANOS = Duration.ofMillis(200).toNanos();

  /** Time that opening a connection is expected to take before one has been opened. */
  private static final double INITIAL_OPEN_NANOS = 15e6;

  /** Weight of the newest opening in the average time that one takes. */
  private static final double NEWEST_WEIGHT = 0.1;

  /** An opening that takes longer than this many average ones does not keep others back. */
  private static final double OVERDUE_FACTOR = 4;

  /** Time after a failed opening in which no other one is tried; doubles with each failure. */
  private static final long OPEN_RETRY_NANOS = Duration.ofMillis(25).toNanos();

  /** Doublings of the time after a failed opening. */
  private static final int MAX_RETRY_DOUBLINGS = 4;

  /** Receives the events of all connections. */
  interface Listener {

    /** Called when a connection is ready for statements. */
    void onOpened();

    /** Called when a server's address refused a connection. */
    void onRefused(PoolServer server, String detail);

    /**
     * Called when a connection for a waiting statement could not be opened.
     *
     * @param retryAfter the time after which one to the same server may be tried again
     */
    void onOpenFailed(QueuedWork item, Duration retryAfter);

    /** Called after a connection was closed by the server or the network. */
    void onClosed(PooledConnection connection);
  }

  private final ServerConnector connector;
  private final Scheduler scheduler;
  private final DecisionLog log;
  private final PoolMetrics metrics;
  private final Listener listener;
  private final Collection<PoolServer> servers;
  private final ConnectionShares shares = new ConnectionShares();
  private final UnexpectedAnswers unexpected;

  /** The statements for which a connection is being opened, with their last opening. */
  private final Map<QueuedWork, OpenListener> awaited = new HashMap<>();

  private double openNanos = INITIAL_OPEN_NANOS;
  private int maxPerServer = 16;
  private boolean closing;

  /**
   * Creates an object without connections.
   *
   * @param servers a view of the pool's current servers
   */
  ServerConnections(
      ServerConnector connector,
      Scheduler scheduler,
      DecisionLog log,
      PoolMetrics metrics,
      Collection<PoolServer> servers,
      Listener listener) {
    this.log = log;
    this.metrics = metrics;
    this.unexpected = new UnexpectedAnswers(log, metrics);
    this.servers = servers;
    this.connector = connector;
    this.scheduler = scheduler;
    this.listener = listener;
  }

  /** Sets how many connections a server accepts; some of them are left free. */
  void setServerLimit(int connectionsPerServer) {
    maxPerServer = Math.max(2, connectionsPerServer - RESERVED_CONNECTIONS);
  }

  /** Returns a search for a connection on which {@code item} can run. */
  Request request(QueuedWork item) {
    return new Request(item);
  }

  /**
   * One search for a connection: the condition that a server has an idle connection for the
   * statement, and the servers that could run it but have none.
   */
  final class Request implements Predicate<PoolServer> {
    private final QueuedWork item;
    private final String account;
    private final List<PoolServer> lacking = new ArrayList<>(2);

    Request(QueuedWork item) {
      this.item = item;
      this.account = item.work.account();
    }

    @Override
    public boolean test(PoolServer s) {
      if (s.hasIdle(account)) {
        return true;
      }
      if (account.isEmpty()) {
        openShared(s);
      } else {
        lacking.add(s);
      }
      return false;
    }
  }

  /**
   * Removes and returns the idle connection of the work's account that is best prepared for its
   * values. Returns null if none is idle.
   */
  @Nullable PooledConnection takeIdle(PoolServer s, Work work) {
    String account = work.account();
    PooledConnection idle = s.takeIdle(account, work.values().asMap(), work.begins());
    if (idle == null) {
      makeRoomForBeginning(s, work);
      if (account.isEmpty()) {
        openShared(s);
      }
      return null;
    }
    idle.taken = true;
    idle.changedNanos = scheduler.nanoTime();
    if (!account.isEmpty()) {
      shares.onTaken(Side.of(s), account, idle.changedNanos);
    }
    return idle;
  }

  /** Closes an idle connection if a transaction can begin on none of them. */
  private void makeRoomForBeginning(PoolServer s, Work work) {
    if (work.begins() && s.opening == 0) {
      PooledConnection used = s.takeIdle(work.account(), work.values().asMap(), false);
      if (used != null) {
        metrics.recordConnectionClosed(ConnectionClose.NOT_REUSABLE);
        close(used);
      }
    }
  }

  /**
   * Opens a connection for a statement that has none and must wait, unless one is being opened for
   * it, one of its account's will be free sooner, or it would come too late. Statements must be
   * passed in the order of the queue.
   *
   * @param chosen the server that the statement would run on if it had a connection; null if none
   */
  void openFor(Request request, @Nullable PoolServer chosen) {
    QueuedWork item = request.item;
    long now = scheduler.nanoTime();
    OpenListener earlier = awaited.get(item);
    if (request.account.isEmpty() || (earlier != null && !earlier.isOverdue(now))) {
      return;
    }
    List<PoolServer> candidates = request.lacking;
    if (candidates.isEmpty()) {
      if (chosen == null) {
        return;
      }
      candidates = List.of(chosen);
    }
    if (item.lackedConnectionNanos == 0) {
      item.lackedConnectionNanos = now;
      metrics.recordConnectionWait();
    }
    if (now + openNanos + item.serviceNanos > item.deadlineNanos()) {
      return;
    }
    Side side = Side.of(candidates.get(0));
    int count = countOf(side, request.account);
    boolean isUrgent = !hasUsable(side, request.account) || now - item.arrivedNanos > openNanos;
    if (!isUrgent && !shares.isWorthAnother(side, request.account, count, now)) {
      return;
    }
    double gain =
        isUrgent
            ? Double.POSITIVE_INFINITY
            : shares.gainPerSecond(side, request.account, count + 1, now);
    PoolServer best = null;
    double bestLoss = 0;
    for (PoolServer s : candidates) {
      boolean isAwaited = earlier != null && earlier.server == s;
      if (isAwaited || (item.late && s.opening > 0) || !mayOpen(s, request.account, now)) {
        continue;
      }
      double loss = lossOfMakingRoom(s, request.account, now);
      boolean isBetter =
          best == null || loss < bestLoss || (loss == bestLoss && s.cost(0) < best.cost(0));
      if (loss < gain && isBetter) {
        best = s;
        bestLoss = loss;
      }
    }
    if (best != null) {
      open(best, request.account, item);
    }
  }

  /**
   * Opens a connection for later reads of the account to a replica that would have answered sooner
   * than {@code chosen} but has no idle connection of the account.
   */
  void openAhead(Request request, PoolServer chosen) {
    long now = scheduler.nanoTime();
    for (PoolServer s : request.lacking) {
      int count = countOf(Side.of(s), request.account);
      boolean isIdle = s.opening == 0 && s.inFlight < s.slots() - 1;
      if (isIdle
          && s.cost(0) <= chosen.cost(0)
          && shares.isWorthAnother(Side.of(s), request.account, count, now)
          && mayOpen(s, request.account, now)
          && 2 * lossOfMakingRoom(s, request.account, now)
              < shares.gainPerSecond(Side.of(s), request.account, count + 1, now)) {
        open(s, request.account, null);
        return;
      }
    }
  }

  /**
   * Returns the expected time in milliseconds until work of the account has a connection to the
   * server; 0 if it has one that no transaction holds, or no accounts are declared.
   */
  long expectedWaitMillis(PoolServer s, String account) {
    int inUse = s.countOf(account) - s.openingByAccount.getOrDefault(account, 0);
    if (account.isEmpty() || inUse > s.pinnedOf(account)) {
      return 0;
    }
    long now = scheduler.nanoTime();
    double nanos = openNanos * (1 + s.opening / MAX_CONCURRENT_OPENS);
    return (long) ((Math.max(0, s.openNotBeforeNanos - now) + nanos) / 1e6);
  }

  /** Returns the number of the account's connections to the servers of a side. */
  private int countOf(Side side, String account) {
    int count = 0;
    for (PoolServer s : servers) {
      if (s.isUsable() && Side.of(s) == side) {
        count += s.countOf(account);
      }
    }
    return count;
  }

  /** Returns whether the account has a connection that no transaction holds, or opens one. */
  private boolean hasUsable(Side side, String account) {
    for (PoolServer s : servers) {
      if (s.acceptsNewWork() && Side.of(s) == side && s.countOf(account) > s.pinnedOf(account)) {
        return true;
      }
    }
    return false;
  }

  /** Returns the number of connections that the pool may have to the server now. */
  private int limitOf(PoolServer s) {
    boolean isRefused = scheduler.nanoTime() < s.refusedUntilNanos;
    return isRefused ? Math.min(maxPerServer, s.refusedAtConnections) : maxPerServer;
  }

  /** Returns whether the server's slots, and the account's bound, leave room for an opening. */
  private boolean mayOpen(PoolServer s, String account, long now) {
    boolean hasSlot = s.opening == 0 || s.inFlight + s.opening < ServerChoice.maxInFlight(s);
    return !closing
        && s.isUsable()
        && s.opening < MAX_CONCURRENT_OPENS
        && hasSlot
        && now >= s.openNotBeforeNanos
        && s.countOf(account)
            < ConnectionShares.maxOfAccount(s.slots(), s.pinnedOf(account), limitOf(s));
  }

  /**
   * Returns the statements per second that would find no idle connection if the server made room
   * for another one; infinity if it cannot.
   */
  private double lossOfMakingRoom(PoolServer s, String account, long now) {
    if (s.connections.size() + s.opening < limitOf(s)) {
      return 0;
    }
    PooledConnection c = leastValued(s, account, now);
    return c == null ? Double.POSITIVE_INFINITY : valueOf(c, now);
  }

  private double valueOf(PooledConnection c, long now) {
    if (c.account.isEmpty()) {
      return 0;
    }
    Side side = Side.of(c.server);
    return shares.gainPerSecond(side, c.account, countOf(side, c.account), now);
  }

  /**
   * Returns the idle connection of another account that is worth the least; of several, the one
   * used least recently. Returns null if none can be closed.
   */
  private @Nullable PooledConnection leastValued(PoolServer s, String exceptAccount, long now) {
    PooledConnection least = null;
    double leastValue = Double.POSITIVE_INFINITY;
    for (PooledConnection c : s.idle) {
      boolean isKept = !c.taken && now - c.changedNanos < KEPT_FOR_STATEMENT_NANOS;
      if (isKept || c.account.equals(exceptAccount)) {
        continue;
      }
      double value = valueOf(c, now);
      if (least == null || value < leastValue) {
        least = c;
        leastValue = value;
      }
    }
    return least;
  }

  /** Opens a connection of no account, unless the server has enough or cannot be used. */
  private void openShared(PoolServer s) {
    if (s.opening >= MAX_CONCURRENT_OPENS || s.unreachable || s.removed || closing) {
      return;
    }
    open(s, "", null);
  }

  /**
   * Opens a connection, unless the server has enough. A server with enough connections gives up the
   * idle one of another account that is worth the least.
   *
   * @param item the statement that waits for the connection; null if none does
   */
  private void open(PoolServer s, String account, @Nullable QueuedWork item) {
    if (s.connections.size() + s.opening >= limitOf(s)) {
      PooledConnection least = leastValued(s, account, scheduler.nanoTime());
      if (least == null) {
        return;
      }
      closeUnneeded(least, ConnectionClose.EVICTED, account);
    }
    s.opening++;
    s.openingByAccount.merge(account, 1, Integer::sum);
    String owner = account.isEmpty() ? null : account;
    OpenListener opening = new OpenListener(s, account, item);
    if (item != null) {
      awaited.put(item, opening);
    }
    connector.connect(s.target(owner), opening);
  }

  /** Returns the names of the accounts that have an idle connection to any server. */
  Set<String> accountsWithIdle() {
    Set<String> accounts = new HashSet<>();
    for (PoolServer s : servers) {
      s.idle.forEach(c -> accounts.add(c.account));
    }
    return accounts;
  }

  /** Closes the idle connections of an account to all servers, and forgets its demand. */
  void closeIdleOf(String account) {
    for (PoolServer s : servers) {
      for (PooledConnection c : List.copyOf(s.idle)) {
        if (c.account.equals(account)) {
          closeUnneeded(c, ConnectionClose.WITHDRAWN, "");
        }
      }
    }
    shares.forget(account);
  }

  /**
   * Makes a connection idle. Closes it instead if it cannot be reused: the pool is shutting down, a
   * transaction is still open on it, the server accepts no new work, or a later answer on it could
   * not be told from a copy of an earlier one.
   *
   * @param last the last answer that came over the connection
   */
  void giveBack(PooledConnection c, Answer last) {
    if (c.closed) {
      return;
    }
    if (!c.account.isEmpty()) {
      long heldNanos = scheduler.nanoTime() - c.changedNanos;
      shares.onGivenBack(Side.of(c.server), c.account, heldNanos);
    }
    boolean isReusable = last.state() == TransactionState.IDLE && c.link.isReusable();
    if (closing || !isReusable || !c.server.acceptsNewWork()) {
      if (!c.link.isReusable()) {
        metrics.recordConnectionClosed(ConnectionClose.NOT_REUSABLE);
      }
      close(c);
      return;
    }
    c.transaction = null;
    c.changedNanos = scheduler.nanoTime();
    c.server.idle.addLast(c);
  }

  /**
   * Closes an idle connection.
   *
   * @param inFavourOf the account for which room is made; empty if none
   */
  private void closeUnneeded(PooledConnection c, ConnectionClose reason, String inFavourOf) {
    long now = scheduler.nanoTime();
    metrics.recordConnectionClosed(reason);
    log.event(DecisionLog.Priority.SUCCESS, "connection-closed")
        .with("server", c.server.backend.id())
        .with("reason", reason.label())
        .with("account", c.account)
        .with("in_favour_of", inFavourOf)
        .with("idle_ms", (now - c.changedNanos) / 1_000_000)
        .with("connections", c.server.connections.size())
        .with("idle", c.server.idle.size())
        .write();
    close(c);
  }

  /** Closes a connection, unless it is closed. */
  void close(PooledConnection c) {
    if (!c.closed) {
      c.closed = true;
      c.server.connections.remove(c);
      c.server.idle.remove(c);
      c.link.close();
    }
  }

  /** Closes the idle connections of a server, and opens no more connections to any server. */
  void closeIdle(PoolServer s) {
    closing = true;
    new ArrayList<>(s.idle).forEach(this::close);
  }

  /** Closes all connections to a server, the control connection included, and returns them. */
  List<PooledConnection> closeAll(PoolServer s) {
    ServerLink control = s.control;
    s.control = null;
    s.statusPending = false;
    s.refusedUntilNanos = Long.MIN_VALUE;
    if (control != null) {
      control.close();
    }
    List<PooledConnection> closed = List.copyOf(s.connections);
    closed.forEach(this::close);
    return closed;
  }

  /** Opens no more connections; one that is being opened is closed. */
  void stop() {
    closing = true;
  }

  /** Handles the events of one connection. */
  private final class OpenListener implements ServerConnector.Listener {
    private final PoolServer server;
    private final String account;
    private final @Nullable QueuedWork item;
    private final long startedNanos = scheduler.nanoTime();
    private @Nullable PooledConnection connection;

    OpenListener(PoolServer server, String account, @Nullable QueuedWork item) {
      this.server = server;
      this.account = account;
      this.item = item;
    }

    /** Returns whether the opening takes so long that another server may be tried meanwhile. */
    boolean isOverdue(long now) {
      return now - startedNanos > OVERDUE_FACTOR * openNanos;
    }

    private void end() {
      server.opening--;
      server.openingByAccount.computeIfPresent(account, (a, n) -> n == 1 ? null : n - 1);
      if (item != null) {
        awaited.remove(item, this);
      }
    }

    @Override
    public void onOpen(ServerLink link, @Nullable LogPosition position) {
      end();
      if (closing || server.removed) {
        link.close();
        return;
      }
      long now = scheduler.nanoTime();
      openNanos += NEWEST_WEIGHT * (now - startedNanos - openNanos);
      server.openFailures = 0;
      if (!account.isEmpty()) {
        metrics.recordConnectionOpened();
      }
      connection = new PooledConnection(server, link, account);
      connection.changedNanos = now;
      server.connections.add(connection);
      server.idle.addLast(connection);
      server.lastContactNanos = now;
      server.updatePosition(position);
      listener.onOpened();
    }

    @Override
    public void onFailure(ServerConnector.ConnectFailure failure, String detail) {
      end();
      Duration retryAfter = Duration.ZERO;
      if (!account.isEmpty()) {
        metrics.recordConnectionFailed();
        log.event(DecisionLog.Priority.FAILURE, "connection-failed")
            .with("server", server.backend.id())
            .with("account", account)
            .with("reason", detail)
            .with("connections", server.connections.size())
            .with("idle", server.idle.size())
            .write();
        int doublings = Math.min(server.openFailures++, MAX_RETRY_DOUBLINGS);
        retryAfter = Duration.ofNanos(OPEN_RETRY_NANOS << doublings);
        server.openNotBeforeNanos = scheduler.nanoTime() + retryAfter.toNanos();
        if (failure == ServerConnector.ConnectFailure.REJECTED) {
          server.refusedAtConnections = Math.max(1, server.connections.size());
          server.refusedUntilNanos = server.openNotBeforeNanos + retryAfter.toNanos();
        }
      }
      if (failure == ServerConnector.ConnectFailure.REFUSED) {
        listener.onRefused(server, detail);
      }
      if (item != null) {
        listener.onOpenFailed(item, retryAfter);
      }
    }

    @Override
    public void onClosed() {
      if (connection != null) {
        close(connection);
        listener.onClosed(connection);
      }
    }

    @Override
    public void onUnexpected(UnexpectedAnswer answer) {
      unexpected.record(server, answer);
    }
  }
}
