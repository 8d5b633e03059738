package org.chicorylane.internal.pool;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.LongPredicate;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.chicorylane.internal.account.ClientAccounts;
import org.chicorylane.internal.passthrough.Answer;
import org.chicorylane.internal.passthrough.FailureCode;
import org.chicorylane.internal.passthrough.ServerCommand;
import org.chicorylane.internal.passthrough.ServerConnector;
import org.chicorylane.internal.passthrough.ServerLink;
import org.chicorylane.internal.passthrough.TransactionState;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.runtime.AttentionClock;
import org.chicorylane.internal.runtime.DecisionLog;
import org.chicorylane.internal.runtime.Scheduler;
import org.chicorylane.internal.topology.BackendServer;
import org.chicorylane.internal.topology.DrainLimit;
import org.jspecify.annotations.Nullable;

/**
 * Connection pool of one database group, at the group's home. Queues statements, dispatches each to
 * a server, refuses statements that cannot be run in time (admission control), and retries a
 * statement whose answer was lost or reports it as in doubt.
 *
 * <pre>{@code
 * pool.setServers(servers);
 * pool.setPrimary("server-1", 3);
 * pool.submit(link, work, handler);
 * }</pre>
 *
 * <p>Confined to the instance's thread.
 */
public final class GroupPool {

  /** Interval between checks of servers, overdue answers and time limits. */
  private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);

  /** Age of the primary's last known position at which a new one is requested. */
  private static final Duration MAX_PRIMARY_POSITION_AGE = Duration.ofMillis(400);

  /**
   * Delay before a statement that a server refused without running it, such as for lack of room, is
   * sent again.
   */
  private static final long REFUSED_RETRY_DELAY_NANOS = Duration.ofMillis(15).toNanos();

  /** An answer that takes longer than this many average service times counts as lost. */
  private static final double OVERDUE_FACTOR = 8;

  /** Minimum time after which a read is sent again; longer than the longest ordinary read. */
  private static final long MIN_OVERDUE_READ_NANOS = Duration.ofMillis(260).toNanos();

  /**
   * Minimum time after which an answer counts as lost if the statement writes or is part of a
   * transaction.
   */
  private static final long MIN_OVERDUE_WRITE_NANOS = Duration.ofMillis(600).toNanos();

  /**
   * Maximum time for the answers to commands that prepare a connection for a statement, or roll
   * back. They take no slot, so that their answers take little more than a round trip.
   */
  private static final long MAX_SETUP_NANOS = Duration.ofMillis(260).toNanos();

  /**
   * Time without an answer from the primary after which a statement that no server can take is
   * refused at once instead of queued. A change of primary takes less time, so statements wait for
   * its end.
   */
  private static final long PRIMARY_OUTAGE_NANOS = Duration.ofMillis(1_300).toNanos();

  /** Time after which a client is told to retry, such as while the primary is being replaced. */
  private static final long RETRY_AFTER_MILLIS = 400;

  /** Time after which a client is told to retry while the home is not confirmed. */
  private static final long UNCONFIRMED_RETRY_AFTER_MILLIS = 500;

  private static final int MAX_ATTEMPTS = 4;

  /**
   * A statement counts as late if it is expected to wait longer than this share of the time that it
   * can wait, and is refused if it is expected to wait longer than this share of its budget.
   */
  private static final double MAX_WAIT_SHARE = 0.75;

  /** Share of its target time for which a statement waits for a slot while other room is free. */
  private static final double MAX_HELD_SHARE = 0.25;

  private final String group;
  private final Scheduler scheduler;
  private final DecisionLog log;
  private final LongPredicate mayServe;
  private final DrainLimit drainLimit;
  private final StatementQuota quota;
  private final PoolListener listener;
  private final PoolMetrics metrics;
  private final Map<String, PoolServer> servers = new HashMap<>();
  private final Map<PoolTransaction.Key, PoolTransaction> transactions = new HashMap<>();
  private final WorkQueue queue = new WorkQueue();
  private final Set<SetupHandler> preparing = new LinkedHashSet<>();
  private final Set<StatementHandler> running = new LinkedHashSet<>();
  private final FloorTracker floors = new FloorTracker();
  private final ServiceTimes serviceTimes = new ServiceTimes();
  private final ServerConnections connections;
  private final RandomGenerator random;
  private final OutlierDetector outliers;
  private final ServerMonitor monitor;
  private final Scheduler.Timer checkTimer;
  private long transactionIdleNanos = Duration.ofSeconds(30).toNanos();
  private @Nullable String primaryId;
  private long term;
  private LogPosition acknowledged = LogPosition.ZERO;
  private LogPosition leastAcknowledged = LogPosition.ZERO;
  private long nextSequence;

  /** Time of the last answer from the primary while it could be sent all kinds of work. */
  private long lastPrimaryAnswerNanos;

  private boolean dispatching;

  /** Whether no replica could serve the read that was considered last. */
  private boolean readsNeedPrimary;

  private PrimaryHalt halt = PrimaryHalt.NOTHING;
  private boolean retiring;
  private boolean stopped;

  /**
   * Creates a pool without servers.
   *
   * @param attention measures how long a server has been silent
   * @param mayServe returns whether, at a time in nanoseconds, this instance is confirmed as the
   *     home and may serve statements
   * @param drainLimit tells for how long a draining server may be sent new work
   * @param quota limits what is sent to the servers
   */
  public GroupPool(
      String group,
      ServerConnector connector,
      Scheduler scheduler,
      AttentionClock attention,
      DecisionLog log,
      LongPredicate mayServe,
      DrainLimit drainLimit,
      StatementQuota quota,
      PoolMetrics metrics,
      PoolListener listener) {
    this.metrics = metrics;
    this.group = group;
    this.scheduler = scheduler;
    this.log = log;
    this.mayServe = mayServe;
    this.drainLimit = drainLimit;
    this.quota = quota;
    this.listener = listener;
    this.connections =
        new ServerConnections(
            connector, scheduler, log, metrics, servers.values(), new ConnectionListener());
    this.outliers = new OutlierDetector(group, log, metrics);
    this.random = new Random(group.hashCode() + scheduler.nanoTime());
    this.monitor =
        new ServerMonitor(
            group, connector, scheduler, attention, log, metrics, listener, new MonitoredPool());
    this.lastPrimaryAnswerNanos = scheduler.nanoTime();
    this.checkTimer = scheduler.repeat(CHECK_INTERVAL, this::checkPeriodically);
  }

  /**
   * Sets the limits that operators declare.
   *
   * @param connectionsPerServer the maximum number of connections to each server; some of them are
   *     left free
   * @param transactionIdleLimit the time after which an idle transaction is rolled back
   */
  public void configure(int connectionsPerServer, Duration transactionIdleLimit) {
    connections.setServerLimit(connectionsPerServer);
    transactionIdleNanos = transactionIdleLimit.toNanos();
  }

  /** Sets the client accounts that share the servers, null if none are declared. */
  public void setAccounts(@Nullable ClientAccounts accounts) {
    queue.setAccounts(accounts);
    if (accounts != null) {
      connections.accountsWithIdle().stream()
          .filter(name -> !accounts.hasKeys(name))
          .forEach(connections::closeIdleOf);
    }
  }

  /**
   * Sets the group's current servers. Closes the connections to servers that were removed,
   * restarted or moved to another address, and connects to new ones.
   */
  public void setServers(List<BackendServer> current) {
    Map<String, BackendServer> byId = new HashMap<>();
    current.forEach(s -> byId.put(s.id(), s));
    for (PoolServer server : new ArrayList<>(servers.values())) {
      BackendServer backend = byId.get(server.backend.id());
      if (backend == null) {
        server.removed = true;
        servers.remove(server.backend.id());
        closeAllConnections(server);
        listener.onServerLost(server.backend.id(), ServerLoss.ENTRY_GONE);
      } else if (backend.startedMillis() != server.backend.startedMillis()
          || !backend.address().equals(server.backend.address())) {
        server.backend = backend;
        closeAllConnections(server);
        server.clearState();
      } else {
        server.backend = backend;
      }
    }
    for (BackendServer backend : current) {
      servers.computeIfAbsent(
          backend.id(),
          id -> {
            PoolServer server = new PoolServer(backend, drainLimit);
            server.primary = id.equals(primaryId);
            return server;
          });
    }
    servers.values().forEach(monitor::openControl);
    dispatchQueued();
  }

  /** Sets the primary, null if there is none, and its term. */
  public void setPrimary(@Nullable String serverId, long newTerm) {
    primaryId = serverId;
    term = newTerm;
    floors.startTerm(newTerm);
    servers.forEach((id, s) -> s.primary = id.equals(serverId));
    dispatchQueued();
  }

  /** Sets which new work is held back from the primary. Statements that are running continue. */
  public void setPrimaryHalt(PrimaryHalt newHalt) {
    halt = newHalt;
    dispatchQueued();
  }

  /** Returns the number of connections to the primary that run statements or hold transactions. */
  public int primaryConnectionsInUse() {
    PoolServer primary = primaryId == null ? null : servers.get(primaryId);
    return primary == null ? 0 : primary.connections.size() - primary.idle.size();
  }

  /** Returns the highest position up to which commits may have been acknowledged to clients. */
  public LogPosition acknowledged() {
    return acknowledged;
  }

  /**
   * Returns a position that a commit which was acknowledged here surely reached; there may be later
   * ones. Lies below {@link #acknowledged()}, which includes commits that were under way.
   */
  public LogPosition leastAcknowledged() {
    return leastAcknowledged;
  }

  /**
   * Raises the acknowledged position to at least {@code position}, because other instances may have
   * acknowledged commits up to it.
   */
  public void raiseAcknowledged(LogPosition position) {
    acknowledged = acknowledged.max(position);
  }

  /** Returns whether the control connection to the server is open. */
  public boolean canReach(String serverId) {
    PoolServer server = servers.get(serverId);
    return server != null && server.control != null && !server.unreachable;
  }

  /**
   * Sends a command over the control connection to a server. Returns false if there is none; the
   * handler is not called then.
   */
  public boolean sendCommand(
      String serverId, ServerCommand command, ServerLink.AnswerHandler handler) {
    PoolServer server = servers.get(serverId);
    if (server == null || server.control == null) {
      return false;
    }
    server.control.send(command, handler);
    return true;
  }

  /**
   * Returns the time in milliseconds since the oldest unanswered commit or write was sent to the
   * primary, or 0 if there is none.
   */
  public long oldestPendingCommitMillis() {
    long now = scheduler.nanoTime();
    return running.stream()
        .filter(handler -> handler.connection.server.primary && handler.isCommitOrWrite())
        .mapToLong(handler -> (now - handler.sentNanos) / 1_000_000)
        .max()
        .orElse(0);
  }

  /** Returns the number of statements that wait for a server. */
  public int queueSize() {
    return queue.size();
  }

  /**
   * Queues a statement, or refuses it at once if it cannot be expected to run in time.
   *
   * @param owner the link to the entry from which the statement came
   * @param handler the handler that is called with the outcome
   */
  public void submit(Object owner, Work work, WorkHandler handler) {
    if (stopped || (retiring && (!work.inTransaction() || work.begins()))) {
      handler.onNotHome();
      return;
    }
    long now = scheduler.nanoTime();
    PoolTransaction transaction = null;
    if (work.inTransaction()) {
      PoolTransaction.Key key = new PoolTransaction.Key(owner, work.transaction());
      if (work.begins()) {
        transaction = new PoolTransaction(key, work.readOnly());
        transactions.put(key, transaction);
      } else {
        transaction = transactions.get(key);
        if (transaction == null) {
          handler.onAnswer(abortedAnswer("the transaction's connection is gone"));
          return;
        }
      }
      transaction.lastUsedNanos = now;
      transaction.running = true;
    }
    double serviceNanos = serviceTimes.expectedNanos(work);
    QueuedWork item =
        new QueuedWork(owner, work, handler, now, nextSequence++, transaction, serviceNanos);
    if (work.budgetMillis() == 0) {
      refuse(item, Refusal.OUT_OF_TIME, "it arrived after its time", 0);
      return;
    }
    StatementQuota.Refusal overQuota = isNewWork(item) ? quota.checkNew(work) : null;
    if (overQuota != null) {
      refuse(item, Refusal.OVER_QUOTA, overQuota.reason(), overQuota.retryMillis());
      return;
    }
    queue.place(item);
    long wait = expectedWaitMillis(item);
    if (wait < 0 && now - lastPrimaryAnswerNanos > PRIMARY_OUTAGE_NANOS) {
      long down = (now - lastPrimaryAnswerNanos) / 1_000_000;
      refuse(
          item,
          Refusal.NO_SERVER,
          "no server can take it, the primary since " + down + " ms",
          RETRY_AFTER_MILLIS);
      return;
    }
    if (!item.isPinned() && wait > item.maxTimelyWaitMillis() * MAX_WAIT_SHARE) {
      item.late = true;
      wait = expectedWaitMillis(item);
    }
    item.expectedWaitMillis = wait;
    if (!item.isPinned() && wait > work.budgetMillis() * MAX_WAIT_SHARE) {
      refuse(
          item,
          Refusal.QUEUE_TOO_LONG,
          "queue of " + queue.size() + " takes about " + wait + " ms",
          wait / 2);
      return;
    }
    queue.add(item);
    dispatchQueued();
  }

  /** Rolls back a transaction that its client has abandoned. */
  public void abandon(Object owner, long number) {
    PoolTransaction transaction = transactions.remove(new PoolTransaction.Key(owner, number));
    if (transaction != null) {
      rollBack(transaction);
    }
  }

  /**
   * Drops the single statements that were submitted with a handler equal to {@code handler},
   * because nobody waits for them any more: none is sent to a server from now on, for the first
   * time or again. A statement that was sent is left to finish; the handler of one that was not is
   * not called.
   */
  public void drop(WorkHandler handler) {
    dropMatching(item -> item.transaction == null && item.handler.equals(handler));
  }

  private void dropMatching(Predicate<QueuedWork> condition) {
    queue.removeMatching(condition).forEach(this::recordDropped);
    preparing.stream().map(h -> h.item).filter(condition).forEach(QueuedWork::abandon);
    running.stream().map(h -> h.item).filter(condition).forEach(QueuedWork::abandon);
  }

  private void recordDropped(QueuedWork item) {
    queue.refund(item);
    metrics.recordDropped();
    log.event(DecisionLog.Priority.FAILURE, "dropped")
        .with("request", item.work.requestId())
        .with("group", group)
        .with("account", item.work.account())
        .with("waited_ms", (scheduler.nanoTime() - item.arrivedNanos) / 1_000_000)
        .with("attempts", item.attempts)
        .write();
  }

  /**
   * Drops all statements that came over the link {@code owner}, which has ended, and rolls back all
   * transactions.
   */
  public void abandonAll(Object owner) {
    for (PoolTransaction transaction : new ArrayList<>(transactions.values())) {
      if (transaction.key.owner().equals(owner)) {
        transactions.remove(transaction.key);
        rollBack(transaction);
      }
    }
    dropMatching(item -> item.owner.equals(owner));
  }

  /** Closes the idle connections of a client account, which may run no further statements. */
  public void closeIdleOf(String account) {
    connections.closeIdleOf(account);
  }

  /** Returns whether the transaction is open in this pool. */
  public boolean hasTransaction(Object owner, long number) {
    return transactions.containsKey(new PoolTransaction.Key(owner, number));
  }

  /**
   * Starts a graceful shutdown: new work is answered as not at home, while running statements and
   * transactions that have begun may finish.
   */
  public void retire() {
    retiring = true;
    List<QueuedWork> rest = queue.removeMatching(item -> !item.isPinned());
    rest.forEach(this::removeTransaction);
    rest.forEach(item -> item.handler.onNotHome());
    servers.values().forEach(connections::closeIdle);
  }

  /** Returns whether no statement waits or runs and no transaction is open. */
  public boolean isIdle() {
    return running.isEmpty() && preparing.isEmpty() && transactions.isEmpty() && queue.isEmpty();
  }

  /** Closes the pool and its connections at once, because another instance takes over. */
  public void stop() {
    stopped = true;
    checkTimer.cancel();
    connections.stop();
    for (QueuedWork item : queue.removeMatching(item -> true)) {
      if (item.isPinned()) {
        item.handler.onAnswer(abortedAnswer("the home of the group changed"));
      } else {
        item.handler.onNotHome();
      }
    }
    transactions.clear();
    servers.values().forEach(this::closeAllConnections);
  }

  private void rollBack(PoolTransaction transaction) {
    transaction.abandoned = true;
    PooledConnection c = transaction.connection;
    if (c == null || c.closed) {
      return;
    }
    if (transaction.running) {
      connections.close(c);
      dispatchQueued();
      return;
    }
    c.transaction = null;
    c.link.send(new ServerCommand.Rollback(), new RollbackHandler(c));
  }

  /** Returns the expected time in milliseconds until a server takes the work, or -1 if none can. */
  private long expectedWaitMillis(QueuedWork item) {
    if (item.isPinned()) {
      return 0;
    }
    long now = scheduler.nanoTime();
    LogPosition floor =
        item.work.canRunOnReplica() ? floors.floorFor(item.work, item.arrivedNanos) : null;
    double slots = 0;
    double replicaSlots = 0;
    long connectionWait = Long.MAX_VALUE;
    for (PoolServer s : servers.values()) {
      if (s.primary && halt.allows(item.work) && s.acceptsNewWork()) {
        slots += s.effectiveSlots();
        connectionWait =
            Math.min(connectionWait, connections.expectedWaitMillis(s, item.work.account()));
      } else if (!s.primary
          && floor != null
          && ServerChoice.isFresh(s, floor, floors, now)
          && s.acceptsNewWork()
          && !s.ejection.isActive()) {
        replicaSlots += s.effectiveSlots();
        connectionWait =
            Math.min(connectionWait, connections.expectedWaitMillis(s, item.work.account()));
      }
    }
    if (item.work.canRunOnReplica()) {
      readsNeedPrimary = replicaSlots == 0;
    }
    long wait = queue.expectedWaitMillis(item, slots + replicaSlots, readsNeedPrimary, now);
    return wait < 0 ? wait : Math.max(wait, connectionWait);
  }

  /** Dispatches the queued statements that servers can take now, in order. */
  private void dispatchQueued() {
    if (dispatching || stopped) {
      return;
    }
    dispatching = true;
    try {
      long now = scheduler.nanoTime();
      boolean allowed = mayServe.test(now);
      postponeLateWork(now);
      dispatchStarved(allowed, now);
      Iterator<QueuedWork> i = queue.iterator();
      Map<QueuedWork, Refusal> refused = new LinkedHashMap<>();
      while (i.hasNext() && (!allowed || hasFreeCapacity())) {
        QueuedWork item = i.next();
        Refusal obstacle = findObstacle(item, allowed, now);
        if (item.isAbandoned()) {
          i.remove();
          recordDropped(item);
        } else if (obstacle != null) {
          i.remove();
          refused.put(item, obstacle);
        } else if (now >= item.notBeforeNanos && tryDispatch(item, now)) {
          i.remove();
        }
      }
      refused.forEach(this::refuseObstructed);
    } finally {
      dispatching = false;
    }
  }

  /**
   * Returns why a statement must not be sent now, null if it may be. Checked when a statement is
   * taken from the queue, and again when its connection has been prepared.
   *
   * @param allowed whether this instance is confirmed as the home
   */
  private static @Nullable Refusal findObstacle(QueuedWork item, boolean allowed, long now) {
    if (!allowed) {
      return Refusal.UNCONFIRMED_HOME;
    }
    return now >= item.deadlineNanos() ? Refusal.OUT_OF_TIME : null;
  }

  /** Refuses a statement that must not be sent, for the reason that {@link #findObstacle} gave. */
  private void refuseObstructed(QueuedWork item, Refusal obstacle) {
    if (obstacle == Refusal.UNCONFIRMED_HOME) {
      refuse(
          item,
          obstacle,
          "this home cannot confirm that it still is one",
          UNCONFIRMED_RETRY_AFTER_MILLIS);
    } else {
      refuse(item, obstacle, "no server had room in time", expectedWaitMillis(item));
    }
  }

  /** Dispatches the statement whose priority would otherwise be starved, if there is one. */
  private void dispatchStarved(boolean allowed, long now) {
    QueuedWork starved = allowed && hasFreeCapacity() ? queue.findStarved() : null;
    if (starved != null
        && now >= starved.notBeforeNanos
        && findObstacle(starved, allowed, now) == null
        && tryDispatch(starved, now)) {
      queue.remove(starved);
    }
  }

  /** Returns whether any server can take another statement; if not, the queue is not searched. */
  private boolean hasFreeCapacity() {
    for (PoolServer s : servers.values()) {
      if (s.inFlight < ServerChoice.maxInFlight(s)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Moves late statements behind the others, and refuses those that are then not expected to be
   * served before their clients give up.
   */
  private void postponeLateWork(long now) {
    for (QueuedWork item : queue.removeNewlyLate(now)) {
      long wait = expectedWaitMillis(item);
      if (!item.isPinned() && wait * 1_000_000 > item.deadlineNanos() - now) {
        scheduler.schedule(
            Duration.ZERO,
            () ->
                refuse(
                    item,
                    Refusal.OVERTAKEN,
                    "others that can still be in time take the servers",
                    RETRY_AFTER_MILLIS));
      } else {
        queue.add(item);
      }
    }
  }

  private boolean tryDispatch(QueuedWork item, long now) {
    PoolTransaction t = item.transaction;
    if (t != null && t.connection != null && t.begun) {
      PooledConnection c = t.connection;
      if (c.closed) {
        scheduler.schedule(
            Duration.ZERO, () -> abort(item, "the connection to the server was lost"));
        return true;
      }
      if (c.server.inFlight >= ServerChoice.maxInFlight(c.server)) {
        return false;
      }
      if (!isWithinQuota(item)) {
        return true;
      }
      run(item, c, null, now);
      return true;
    }
    LogPosition floor =
        item.work.canRunOnReplica() ? floors.floorFor(item.work, item.arrivedNanos) : null;
    ServerConnections.Request request = connections.request(item);
    PoolServer best =
        ServerChoice.choose(
            servers.values(),
            item,
            floor,
            halt,
            floors,
            now,
            server -> hasRoomFor(item, server, now) && request.test(server),
            random,
            queue.size());
    if (best != null && !hasRoomFor(item, best, now)) {
      return false;
    }
    PooledConnection c = best == null ? null : connections.takeIdle(best, item.work);
    if (best == null || c == null) {
      connections.openFor(request, best);
      return false;
    }
    if (!isWithinQuota(item)) {
      connections.giveBack(c, Answer.success(TransactionState.IDLE));
      return true;
    }
    connections.openAhead(request, best);
    if (t != null) {
      t.connection = c;
      c.transaction = t;
    }
    run(item, c, best.primary ? null : floor, now);
    return true;
  }

  /** Charges a statement that is about to be sent. If that fails, refuses it and returns false. */
  private boolean isWithinQuota(QueuedWork item) {
    StatementQuota.Refusal refusal = quota.take(item.work);
    if (refusal == null) {
      return true;
    }
    scheduler.schedule(
        Duration.ZERO,
        () -> refuse(item, Refusal.OVER_QUOTA, refusal.reason(), refusal.retryMillis()));
    return false;
  }

  /**
   * Returns whether the server may be sent the statement now. Those of an account above its share
   * are sent to free slots only, so that those of other accounts do not wait behind them there;
   * after a while also to a server that has room beyond its slots, so that none waits in vain.
   */
  private static boolean hasRoomFor(QueuedWork item, PoolServer server, long now) {
    return item.excess == 0
        || server.inFlight < server.slots()
        || now - item.arrivedNanos > MAX_HELD_SHARE * item.work.targetMillis() * 1e6;
  }

  /** Sends a statement over a connection, after the commands that prepare the connection. */
  private void run(QueuedWork item, PooledConnection c, @Nullable LogPosition floor, long now) {
    c.server.inFlight++;
    item.attempts++;
    queue.onDispatched(item, now);
    PoolTransaction t = item.transaction;
    List<ServerCommand> setup =
        new ArrayList<>(c.prepareSetup(item.work.values().asMap(), item.work.template()));
    if (t != null && !t.begun) {
      t.begun = true;
      setup.add(new ServerCommand.Begin(t.readOnly, t.readOnly ? floor : null));
    }
    LogPosition statementFloor = t == null ? floor : null;
    if (setup.isEmpty()) {
      sendStatement(item, c, statementFloor, now);
      return;
    }
    SetupHandler handler = new SetupHandler(item, c, statementFloor, setup.size());
    preparing.add(handler);
    setup.forEach(command -> c.link.send(command, handler));
  }

  private void sendStatement(
      QueuedWork item, PooledConnection c, @Nullable LogPosition floor, long now) {
    Work work = item.work;
    ServerCommand command =
        switch (work.kind()) {
          case READ, WRITE -> new ServerCommand.Forward(work.requestId(), floor, work.text());
          case EXECUTE ->
              new ServerCommand.Execute(
                  work.requestId(),
                  work.isWrite() ? null : floor,
                  work.template() == null ? "" : c.preparedName(work.template()),
                  work.text());
          case COMMIT -> new ServerCommand.Commit(work.requestId());
        };
    if (item.transaction != null && work.isWrite()) {
      item.transaction.wrote = true;
    }
    StatementHandler handler = new StatementHandler(item, c, now);
    running.add(handler);
    c.link.send(command, handler);
  }

  /** Handles the answers to the commands that prepare a connection for a statement. */
  private final class SetupHandler implements ServerLink.AnswerHandler {
    private final QueuedWork item;
    private final PooledConnection connection;
    private final @Nullable LogPosition floor;
    private final long sentNanos = scheduler.nanoTime();

    /** Whether the server was chosen as the primary, so that no floor was set for it. */
    private final boolean wasPrimary;

    private int outstanding;
    private @Nullable Answer failed;

    SetupHandler(
        QueuedWork item, PooledConnection c, @Nullable LogPosition floor, int outstanding) {
      this.item = item;
      this.connection = c;
      this.floor = floor;
      this.wasPrimary = c.server.primary;
      this.outstanding = outstanding;
    }

    @Override
    public void onAnswer(Answer answer) {
      if (connection.closed) {
        return;
      }
      recordAnswer(connection.server, sentNanos, answer);
      if (!answer.succeeded() && failed == null) {
        failed = answer;
      }
      if (--outstanding == 0) {
        preparing.remove(this);
        onPrepared(answer);
      }
    }

    /** Sends the statement, unless it has ended or must not be sent to the server any more. */
    private void onPrepared(Answer last) {
      Answer failure = failed;
      if (failure == null && item.transaction != null && item.work.begins()) {
        connection.onBegun(last.position());
      }
      long now = scheduler.nanoTime();
      Refusal obstacle = findObstacle(item, mayServe.test(now), now);
      boolean isSendable = obstacle == null && !item.isAbandoned() && mayRunHere();
      if (failure == null && isSendable) {
        sendStatement(item, connection, floor, now);
        return;
      }
      connection.server.inFlight--;
      if (failure == null && item.transaction == null) {
        connections.giveBack(connection, last);
      } else {
        connections.close(connection);
      }
      if (item.isAbandoned()) {
        recordDropped(item);
      } else if (failure != null) {
        retryUnrun(item, connection.server, failure);
      } else if (obstacle != null) {
        refuseObstructed(item, obstacle);
      } else {
        retryUnsent(item, connection.server);
      }
      dispatchQueued();
    }

    @Override
    public void onLost() {
      if (preparing.remove(this)) {
        connection.server.inFlight--;
        retryUnsent(item, connection.server);
      }
    }

    /** Returns whether the server that was chosen may still run the statement. */
    private boolean mayRunHere() {
      if (!isNewWork(item)) {
        return true;
      }
      PoolServer server = connection.server;
      boolean isAllowed = server.primary ? halt.allows(item.work) : !wasPrimary;
      return isAllowed && server.acceptsNewWork();
    }

    /** Returns whether an answer is so late that it counts as lost. */
    boolean isOverdue(long now) {
      return now - sentNanos > MAX_SETUP_NANOS;
    }

    /** Closes the connection, whose state is unknown; the statement is sent over another one. */
    void giveUp(long now) {
      metrics.recordConnectionClosed(ConnectionClose.SETUP_OVERDUE);
      log.event(DecisionLog.Priority.FAILURE, "setup-overdue")
          .with("request", item.work.requestId())
          .with("group", group)
          .with("server", connection.server.backend.id())
          .with("unanswered", outstanding)
          .with("waited_ms", (now - sentNanos) / 1_000_000)
          .with("attempts", item.attempts)
          .write();
      connections.close(connection);
    }
  }

  /** Handles the answer to a rollback; closes the connection if none arrives in time. */
  private final class RollbackHandler implements ServerLink.AnswerHandler {
    private final PooledConnection connection;
    private final Scheduler.Timer limit;

    RollbackHandler(PooledConnection c) {
      this.connection = c;
      this.limit =
          scheduler.schedule(
              Duration.ofNanos(MAX_SETUP_NANOS),
              () -> {
                connections.close(c);
                dispatchQueued();
              });
    }

    @Override
    public void onAnswer(Answer answer) {
      limit.cancel();
      connections.giveBack(connection, answer);
      dispatchQueued();
    }

    @Override
    public void onLost() {
      limit.cancel();
    }
  }

  /** Handles the answer to a client's statement. */
  private final class StatementHandler implements ServerLink.AnswerHandler {
    private final QueuedWork item;
    private final PooledConnection connection;
    private final long sentNanos;

    /** The end of the server's log as it was known when the statement was sent. */
    private final LogPosition logEndBefore;

    /** The term of the pool's primary at that time. */
    private final long sentTerm;

    /** Share of the time until the answer in which the statement occupies a slot. */
    private final double slotShare;

    StatementHandler(QueuedWork item, PooledConnection c, long sentNanos) {
      this.item = item;
      this.connection = c;
      this.sentNanos = sentNanos;
      this.logEndBefore = c.server.position;
      this.sentTerm = term;
      int slots = c.server.slots();
      this.slotShare = (double) slots / Math.max(slots, c.server.inFlight);
    }

    @Override
    public void onAnswer(Answer answer) {
      PoolServer server = connection.server;
      running.remove(this);
      server.inFlight--;
      recordAnswer(server, sentNanos, answer);
      recordOutcome(OutlierDetector.isFailure(server, answer));
      if (answer.succeeded()) {
        double nanos = (scheduler.nanoTime() - sentNanos) * slotShare;
        server.history.onAnswerTime(nanos, item.serviceNanos);
        server.onServed(nanos, serviceTimes.expectedNanos(item.work));
        serviceTimes.onServed(item.work, nanos);
      }
      handleAnswer(item, connection, answer, this);
      dispatchQueued();
    }

    @Override
    public void onLost() {
      running.remove(this);
      connection.server.inFlight--;
      PoolTransaction t = item.transaction;
      boolean isAbandoned = t != null && t.abandoned;
      recordOutcome(isAbandoned ? null : true);
      handleLostAnswer(item, connection);
    }

    private void recordOutcome(@Nullable Boolean failed) {
      outliers.onOutcome(connection.server, servers.values(), failed, scheduler.nanoTime());
    }

    /** Returns whether the answer is so late that it counts as lost. */
    boolean isOverdue(long now) {
      double serviceNanos = item.serviceNanos * connection.server.slowness;
      long scaledServiceNanos = (long) (serviceNanos * OVERDUE_FACTOR / slotShare);
      boolean isRepeatable = item.transaction == null && !item.work.isWrite();
      long minimumNanos = isRepeatable ? MIN_OVERDUE_READ_NANOS : MIN_OVERDUE_WRITE_NANOS;
      long nanos = now - sentNanos;
      PoolServer server = connection.server;
      if (isRepeatable
          && !server.primary
          && server.history.tryAbandon(nanos, item.serviceNanos / slotShare)) {
        metrics.recordAbandonedRead();
        return true;
      }
      return nanos > Math.max(minimumNanos, scaledServiceNanos);
    }

    /** Returns a position that a commit of the statement, which followed on the log, reached. */
    LogPosition leastPosition() {
      return logEndBefore.next().max(new LogPosition(sentTerm, 0));
    }

    boolean isCommitOrWrite() {
      return item.work.kind() == WorkKind.COMMIT || item.work.isWrite();
    }
  }

  /** Records the contact with a server and the position in an answer to a request. */
  private void recordAnswer(PoolServer server, long sentNanos, Answer answer) {
    long now = scheduler.nanoTime();
    server.lastContactNanos = now;
    LogPosition position = answer.position();
    if (position == null) {
      return;
    }
    server.updatePosition(position);
    if (server.primary) {
      boolean servesAll = halt == PrimaryHalt.NOTHING && server.acceptsNewWork();
      lastPrimaryAnswerNanos = servesAll ? now : lastPrimaryAnswerNanos;
      if (halt != PrimaryHalt.EVERYTHING) {
        floors.addSample(sentNanos, position);
      }
    } else {
      long age = floors.ageMillis(position, now);
      if (age >= 0) {
        server.lagMillis = age;
      }
    }
  }

  private void handleAnswer(
      QueuedWork item, PooledConnection c, Answer answer, StatementHandler sent) {
    FailureCode failure = answer.failure();
    PoolTransaction t = item.transaction;
    if (t != null) {
      t.running = false;
      t.lastUsedNanos = scheduler.nanoTime();
    }
    if (failure != null && failure.guaranteesNoEffect() && isRetryable(item, answer)) {
      if (t == null) {
        if (failure == FailureCode.NOT_PREPARED) {
          c.clearPrepared();
        }
        connections.giveBack(c, answer);
      } else {
        connections.close(c);
      }
      retryUnrun(item, c.server, answer);
      return;
    }
    if (t == null) {
      connections.giveBack(c, answer);
      if (failure == FailureCode.FAILED && !item.work.isWrite() && item.attempts < 2) {
        item.excludedReplicaId = c.server.backend.id();
        requeue(item);
        return;
      }
    } else if (item.work.kind() == WorkKind.COMMIT || answer.state() == TransactionState.IDLE) {
      transactions.remove(t.key);
      connections.giveBack(c, answer);
    }
    LogPosition position = answer.position();
    if (answer.succeeded() && mayHaveCommitted(item)) {
      if (position == null || !mayAcknowledge(c.server, position)) {
        logUnacknowledged(item, c.server, position);
        deliver(
            item,
            c.server,
            inDoubt(item, "server " + c.server.backend.id() + " may have been replaced"),
            0);
        return;
      }
      acknowledged = acknowledged.max(position);
      leastAcknowledged = leastAcknowledged.max(sent.leastPosition());
    }
    deliver(item, c.server, answer, sent.sentNanos);
  }

  /** Returns whether work is a single statement or the first one of a transaction. */
  private static boolean isNewWork(QueuedWork item) {
    return item.transaction == null || item.work.begins();
  }

  /** Returns whether a success of the work makes a write durable. */
  private static boolean mayHaveCommitted(QueuedWork item) {
    PoolTransaction t = item.transaction;
    return t == null ? item.work.isWrite() : item.work.kind() == WorkKind.COMMIT && t.wrote;
  }

  /**
   * Returns whether a commit up to {@code position} may be acknowledged: this instance still is the
   * home, so that no other one has excluded it, and no server has been chosen for promotion since.
   */
  private boolean mayAcknowledge(PoolServer server, LogPosition position) {
    return position.term() >= term
        && server.primary
        && halt.allowsAcknowledgement()
        && mayServe.test(scheduler.nanoTime());
  }

  private void logUnacknowledged(
      QueuedWork item, PoolServer server, @Nullable LogPosition position) {
    boolean hasLease = mayServe.test(scheduler.nanoTime());
    metrics.recordUnacknowledgedCommit();
    log.event(DecisionLog.Priority.BELIEF, "commit-confirmed-late")
        .with("request", item.work.requestId())
        .with("group", group)
        .with("server", server.backend.id())
        .with("position", position)
        .with("term", term)
        .with("halt", halt)
        .with("lease", Boolean.toString(hasLease))
        .with("primary", Boolean.toString(server.primary))
        .write();
  }

  private static Answer inDoubt(QueuedWork item, String reason) {
    return Answer.failure(FailureCode.IN_DOUBT, reason, stateAfterFailure(item));
  }

  /**
   * Returns whether work may be retried after a failure in which nothing was run: no statement of
   * its transaction has run before, there are attempts and time left, and a retry can help.
   */
  private boolean isRetryable(QueuedWork item, Answer answer) {
    return isNewWork(item)
        && item.attempts < MAX_ATTEMPTS
        && scheduler.nanoTime() < item.deadlineNanos()
        && !answer.failedWith(FailureCode.MALFORMED)
        && !answer.failedWith(FailureCode.TOO_LARGE)
        && !answer.failedWith(FailureCode.ABORTED);
  }

  /**
   * Retries a statement after the server reported that nothing was run; answers it as overloaded if
   * it cannot be retried.
   */
  private void retryUnrun(QueuedWork item, PoolServer server, Answer answer) {
    FailureCode failure = answer.failure();
    if (failure == FailureCode.NOT_PRIMARY && server.primary) {
      listener.onPrimaryRoleRefused(server.backend.id());
    }
    if (failure == FailureCode.REPLICA_BEHIND && !server.primary) {
      item.excludedReplicaId = server.backend.id();
    }
    if (!isRetryable(item, answer)) {
      removeTransaction(item);
      deliver(
          item,
          server,
          Answer.failure(FailureCode.OVERLOADED, "retry after 100 ms", stateAfterFailure(item)),
          0);
      return;
    }
    if (failure != FailureCode.REPLICA_BEHIND && failure != FailureCode.NOT_PREPARED) {
      item.notBeforeNanos = scheduler.nanoTime() + REFUSED_RETRY_DELAY_NANOS;
    }
    requeue(item);
  }

  /** Retries or fails a statement whose connection was lost before the statement was sent. */
  private void retryUnsent(QueuedWork item, PoolServer server) {
    item.excludedReplicaId = server.primary ? null : server.backend.id();
    if (item.transaction != null && !item.work.begins()) {
      abort(item, "the connection to server " + server.backend.id() + " was lost");
    } else if (item.attempts < MAX_ATTEMPTS) {
      requeue(item);
    } else {
      refuse(item, Refusal.SERVER_LOST, "server " + server.backend.id() + " was lost", 100);
    }
  }

  /**
   * Queues a statement again and resets its transaction, which has to start again. Drops the
   * statement if it was abandoned, and returns it to its entry if the pool takes no new work.
   */
  private void requeue(QueuedWork item) {
    PoolTransaction t = item.transaction;
    if (t != null) {
      t.begun = false;
      t.wrote = false;
      t.connection = null;
    }
    if (item.isAbandoned()) {
      recordDropped(item);
    } else if (retiring || stopped) {
      removeTransaction(item);
      item.handler.onNotHome();
    } else {
      queue.add(item);
    }
  }

  /**
   * Retries or fails a statement whose answer was lost. A write or commit is reported as in doubt.
   * A statement within a transaction is not retried, because it may have run and a transaction must
   * stay on one connection.
   */
  private void handleLostAnswer(QueuedWork item, PooledConnection c) {
    PoolTransaction t = item.transaction;
    String server = c.server.backend.id();
    if (t != null && t.abandoned) {
      return;
    }
    if (mayHaveCommitted(item)) {
      removeTransaction(item);
      deliver(item, c.server, inDoubt(item, "server " + server + " did not answer"), 0);
    } else if (t == null) {
      if (item.attempts < MAX_ATTEMPTS && scheduler.nanoTime() < item.deadlineNanos()) {
        item.excludedReplicaId = c.server.primary ? null : server;
        requeue(item);
      } else {
        refuse(item, Refusal.SERVER_LOST, "server " + server + " did not answer", 100);
      }
    } else {
      abort(item, "the connection to server " + server + " was lost");
    }
  }

  private void abort(QueuedWork item, String reason) {
    removeTransaction(item);
    deliver(item, null, abortedAnswer(reason), 0);
  }

  /**
   * Answers a statement as overloaded; one within a transaction that has begun is answered as
   * aborted, and its connection is closed.
   */
  private void refuse(QueuedWork item, Refusal refusal, String reason, long retryMillis) {
    metrics.recordRefusal(refusal);
    removeTransaction(item);
    queue.refund(item);
    String text = reason + "; retry after " + Math.max(20, retryMillis) + " ms";
    if (item.transaction != null && !item.work.begins()) {
      if (item.transaction.connection != null) {
        connections.close(item.transaction.connection);
      }
      deliver(item, null, abortedAnswer(text), 0);
    } else {
      deliver(item, null, Answer.failure(FailureCode.OVERLOADED, text, stateAfterFailure(item)), 0);
    }
  }

  private void removeTransaction(QueuedWork item) {
    if (item.transaction != null) {
      transactions.remove(item.transaction.key);
    }
  }

  /** Returns the state of the client's transaction after the work has failed. */
  private static TransactionState stateAfterFailure(QueuedWork item) {
    boolean openForClient = item.transaction != null && item.work.kind() != WorkKind.COMMIT;
    return openForClient ? TransactionState.FAILED : TransactionState.IDLE;
  }

  private static Answer abortedAnswer(String reason) {
    return Answer.failure(FailureCode.ABORTED, reason, TransactionState.FAILED);
  }

  /**
   * Records the outcome of a statement in the metrics and the log, and passes it to the handler.
   */
  private void deliver(
      QueuedWork item, @Nullable PoolServer server, Answer answer, long sentNanos) {
    FailureCode failure = answer.failure();
    DecisionLog.Priority priority =
        failure == null ? DecisionLog.Priority.SUCCESS : DecisionLog.Priority.FAILURE;
    long now = scheduler.nanoTime();
    boolean fromReplica = server != null && !server.primary;
    metrics.recordAnswer(
        item.work.kind(), failure, fromReplica, (now - item.arrivedNanos) / 1_000_000);
    DecisionLog.Line line =
        log.event(priority, "statement")
            .with("request", item.work.requestId())
            .with("group", group)
            .with("kind", item.work.kind())
            .with("outcome", failure == null ? "done" : failure.name())
            .with("took_ms", (now - item.arrivedNanos) / 1_000_000)
            .with("attempts", item.attempts);
    if (sentNanos > 0) {
      line.with("waited_ms", (sentNanos - item.arrivedNanos) / 1_000_000);
      if (item.lackedConnectionNanos > 0) {
        line.with("connection_wait_ms", (sentNanos - item.lackedConnectionNanos) / 1_000_000);
      }
    }
    if (server != null) {
      line.with("server", server.backend.id())
          .with("server_busy", server.inFlight)
          .with("server_connections", server.connections.size())
          .with("server_idle", server.idle.size())
          .with(
              "others_busy",
              Math.round(server.load.foreign(ServerLoad.meanOf(servers.values()), now)))
          .with("others_busy_age_ms", server.load.ageMillis(now))
          .with("server_position", server.position);
      if (server.backend.draining()) {
        line.with("drain_left_ms", drainLimit.remainingNanos(server.backend) / 1_000_000);
      }
    }
    if (failure != null) {
      line.with("reason", answer.text())
          .with("queued", queue.size())
          .with("account", item.work.account())
          .with("priority", item.work.priority())
          .with("account_priority", item.accountPriority)
          .with("excess", item.excess)
          .with("late", Boolean.toString(item.late))
          .with("expected_wait_ms", item.expectedWaitMillis);
    }
    line.with("term", term).write();
    item.handler.onAnswer(answer);
  }

  /**
   * Removes the transaction of a closed connection. If a statement of it waits or runs, the
   * transaction is kept, and handling that statement's failure decides about it.
   */
  private void removeTransactionOf(PooledConnection c) {
    PoolTransaction t = c.transaction;
    if (t != null && !t.running) {
      transactions.remove(t.key);
    }
  }

  private void closeAllConnections(PoolServer s) {
    connections.closeAll(s).forEach(this::removeTransactionOf);
  }

  private void checkPeriodically() {
    long now = scheduler.nanoTime();
    monitor.checkServers(
        List.copyOf(servers.values()), floors.isLastSampleOlderThan(MAX_PRIMARY_POSITION_AGE, now));
    for (StatementHandler late :
        running.stream().filter(handler -> handler.isOverdue(now)).toList()) {
      connections.close(late.connection);
    }
    preparing.stream().filter(h -> h.isOverdue(now)).toList().forEach(h -> h.giveUp(now));
    enforceTimeLimits(now);
    dispatchQueued();
  }

  private void enforceTimeLimits(long now) {
    queue
        .removeMatching(item -> now >= item.deadlineNanos())
        .forEach(item -> refuseObstructed(item, Refusal.OUT_OF_TIME));
    for (PoolTransaction t : new ArrayList<>(transactions.values())) {
      if (!t.running && now - t.lastUsedNanos > transactionIdleNanos) {
        transactions.remove(t.key);
        rollBack(t);
      }
    }
  }

  /** Handles the events of the connections to the servers. */
  private final class ConnectionListener implements ServerConnections.Listener {
    @Override
    public void onOpened() {
      dispatchQueued();
    }

    @Override
    public void onRefused(PoolServer server, String detail) {
      monitor.markLost(server, ServerLoss.REFUSED, detail);
    }

    @Override
    public void onOpenFailed(QueuedWork item, Duration retryAfter) {
      dispatchQueued();
      scheduler.schedule(retryAfter, GroupPool.this::dispatchQueued);
      long wait = expectedWaitMillis(item);
      double answeredNanos = scheduler.nanoTime() + wait * 1e6 + item.serviceNanos;
      boolean isTooLate = answeredNanos > item.deadlineNanos();
      if (wait > 0 && isTooLate && !queue.removeMatching(other -> other == item).isEmpty()) {
        refuse(item, Refusal.NO_CONNECTION, "no server accepts a connection of its account", wait);
      }
    }

    @Override
    public void onClosed(PooledConnection connection) {
      removeTransactionOf(connection);
      dispatchQueued();
    }
  }

  /** Gives the server monitor access to the pool. */
  private final class MonitoredPool implements ServerMonitor.Pool {
    @Override
    public boolean isStopped() {
      return stopped;
    }

    @Override
    public void closeConnections(PoolServer server) {
      closeAllConnections(server);
    }

    @Override
    public void onAnswer(PoolServer server, long sentNanos, Answer answer) {
      recordAnswer(server, sentNanos, answer);
    }

    @Override
    public void onChange() {
      dispatchQueued();
    }
  }
}
