package org.chicorylane.internal.pool;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongPredicate;
import org.chicorylane.internal.passthrough.Answer;
import org.chicorylane.internal.passthrough.FailureCode;
import org.chicorylane.internal.passthrough.ServerCommand;
import org.chicorylane.internal.passthrough.ServerConnector;
import org.chicorylane.internal.passthrough.ServerLink;
import org.chicorylane.internal.passthrough.TransactionState;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.runtime.DecisionLog;
import org.chicorylane.internal.runtime.Scheduler;
import org.chicorylane.internal.topology.BackendServer;
import org.jspecify.annotations.Nullable;

/**
 * Runs the statements on one database group: decides which server gets which statement and when,
 * what is refused, and what is told to the client when an answer is lost.
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

  /** How often servers are looked at. */
  private static final Duration TICK = Duration.ofMillis(100);

  /** Age of the last known position of the primary at which it is asked for a new one. */
  private static final Duration PRIMARY_POSITION_AGE = Duration.ofMillis(400);

  /** Pause before a statement that a server had no room for is sent again. */
  private static final long BUSY_PAUSE_NANOS = Duration.ofMillis(15).toNanos();

  /** An answer later than this many usual service times counts as lost. */
  private static final double LATE_FACTOR = 8;

  /** Least time after which a read is sent again; above the longest ordinary read. */
  private static final long LATE_READ_NANOS = Duration.ofMillis(260).toNanos();

  /** Least time after which a write's answer counts as lost. */
  private static final long LATE_WRITE_NANOS = Duration.ofMillis(600).toNanos();

  /** A primary that served nothing for so long is not waited for; a change takes less. */
  private static final long HOPELESS_NANOS = Duration.ofMillis(1_300).toNanos();

  /** When a client may come back while a primary is being replaced. */
  private static final long RETURN_MILLIS = 400;

  private static final int MAXIMUM_ATTEMPTS = 4;

  /** Part of the budget within which a statement must be expected to begin. */
  private static final double WAIT_SHARE = 0.75;

  /** Connections left free on each server for a second home and for status questions. */
  private static final int RESERVED_CONNECTIONS = 5;

  /** Connections opened at a time to one server; each takes a slot for a while. */
  private static final int OPENING_AT_A_TIME = 3;

  private final String group;
  private final ServerConnector connector;
  private final Scheduler scheduler;
  private final DecisionLog log;
  private final LongPredicate mayWork;
  private final PoolListener listener;
  private final PoolMetrics metrics;
  private final Map<String, PoolServer> servers = new HashMap<>();
  private final Map<PoolTransaction.Key, PoolTransaction> transactions = new HashMap<>();
  private final WorkQueue queue = new WorkQueue();
  private final Set<Main> running = new LinkedHashSet<>();
  private final FloorTracker floors = new FloorTracker();
  private final ServerMonitor monitor;
  private final Scheduler.Timer ticker;
  private int maximumConnections = 16;
  private long transactionIdleNanos = Duration.ofSeconds(30).toNanos();
  private @Nullable String primaryId;
  private long term;
  private LogPosition acknowledged = LogPosition.ZERO;
  private long nextSequence;
  private long primaryServedNanos;
  private boolean pumping;
  private PrimaryHalt halt = PrimaryHalt.NOTHING;
  private boolean retiring;
  private boolean stopped;

  /**
   * Creates a pool without servers.
   *
   * @param mayWork tells whether, at a time in nanoseconds, this instance may use the primary
   */
  public GroupPool(
      String group,
      ServerConnector connector,
      Scheduler scheduler,
      DecisionLog log,
      LongPredicate mayWork,
      PoolMetrics metrics,
      PoolListener listener) {
    this.metrics = metrics;
    this.group = group;
    this.connector = connector;
    this.scheduler = scheduler;
    this.log = log;
    this.mayWork = mayWork;
    this.listener = listener;
    this.monitor =
        new ServerMonitor(group, connector, scheduler, log, metrics, listener, new Monitored());
    this.primaryServedNanos = scheduler.nanoTime();
    this.ticker = scheduler.repeat(TICK, this::tick);
  }

  /** Takes limits that operators declare. */
  public void configure(int connectionsPerServer, Duration transactionIdleLimit) {
    maximumConnections = Math.max(2, connectionsPerServer - RESERVED_CONNECTIONS);
    transactionIdleNanos = transactionIdleLimit.toNanos();
  }

  /** Takes the group's present servers. */
  public void setServers(List<BackendServer> present) {
    Map<String, BackendServer> byId = new HashMap<>();
    present.forEach(s -> byId.put(s.id(), s));
    for (PoolServer server : new ArrayList<>(servers.values())) {
      BackendServer entry = byId.get(server.entry.id());
      if (entry == null) {
        server.gone = true;
        servers.remove(server.entry.id());
        closeAll(server);
        listener.onServerLost(server.entry.id(), ServerLoss.ENTRY_GONE);
      } else if (entry.startedMillis() != server.entry.startedMillis()
          || !entry.address().equals(server.entry.address())) {
        server.entry = entry;
        closeAll(server);
        server.forgetPosition();
      } else {
        server.entry = entry;
      }
    }
    for (BackendServer entry : present) {
      servers.computeIfAbsent(
          entry.id(),
          id -> {
            PoolServer server = new PoolServer(entry);
            server.primary = id.equals(primaryId);
            return server;
          });
    }
    servers.values().forEach(monitor::openControl);
    pump();
  }

  /** Says which server is the primary, and in which term. */
  public void setPrimary(@Nullable String serverId, long newTerm) {
    primaryId = serverId;
    term = newTerm;
    floors.startTerm(newTerm);
    servers.forEach((id, s) -> s.primary = id.equals(serverId));
    pump();
  }

  /** Says which new work for the primary is held back; what runs goes on. */
  public void setPrimaryHalt(PrimaryHalt newHalt) {
    halt = newHalt;
    pump();
  }

  /** Returns the statements and transactions that the primary is busy with. */
  public int primaryConnectionsInUse() {
    PoolServer primary = primaryId == null ? null : servers.get(primaryId);
    return primary == null ? 0 : primary.connections.size() - primary.idle.size();
  }

  /** Returns the highest position that a client was told is committed. */
  public LogPosition acknowledged() {
    return acknowledged;
  }

  /** Says that commits up to {@code position} may have been acknowledged by others. */
  public void raiseAcknowledged(LogPosition position) {
    acknowledged = acknowledged.max(position);
  }

  /** Returns whether the server is reached at present. */
  public boolean canReach(String serverId) {
    PoolServer server = servers.get(serverId);
    return server != null && server.control != null && !server.unreachable;
  }

  /** Sends a command on the control connection of a server; false if there is none. */
  public boolean sendCommand(
      String serverId, ServerCommand command, ServerLink.AnswerHandler handler) {
    PoolServer server = servers.get(serverId);
    if (server == null || server.control == null) {
      return false;
    }
    server.control.send(command, handler);
    return true;
  }

  /** Returns for how long the oldest unanswered commit or write runs, 0 without one. */
  public long oldestPendingCommitMillis() {
    long now = scheduler.nanoTime();
    return running.stream()
        .filter(m -> m.connection.server.primary && m.isCommit())
        .mapToLong(m -> (now - m.sentNanos) / 1_000_000)
        .max()
        .orElse(0);
  }

  /** Returns the statements that wait. */
  public int queueSize() {
    return queue.size();
  }

  /** Takes a statement that came over {@code owner}. */
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
          handler.onAnswer(aborted("the transaction's connection is gone"));
          return;
        }
      }
      transaction.lastUsedNanos = now;
      transaction.running = true;
    }
    Waiting w = new Waiting(work, handler, now, nextSequence++, transaction);
    long wait = expectedWaitMillis(w);
    if (wait < 0 && now - primaryServedNanos > HOPELESS_NANOS) {
      long down = (now - primaryServedNanos) / 1_000_000;
      refuse(w, "no server can take it, the primary since " + down + " ms", RETURN_MILLIS);
      return;
    }
    if (!w.isPinned() && wait > work.targetMillis()) {
      w.late = true;
      wait = expectedWaitMillis(w);
    }
    if (!w.isPinned() && wait > work.budgetMillis() * WAIT_SHARE) {
      refuse(w, "queue of " + queue.size() + " takes about " + wait + " ms", wait / 2);
      return;
    }
    queue.add(w);
    pump();
  }

  /** Rolls back a transaction whose client gave it up. */
  public void abandon(Object owner, long number) {
    PoolTransaction transaction = transactions.remove(new PoolTransaction.Key(owner, number));
    if (transaction != null) {
      end(transaction);
    }
  }

  /** Rolls back all transactions that came over {@code owner}. */
  public void abandonAll(Object owner) {
    for (PoolTransaction transaction : new ArrayList<>(transactions.values())) {
      if (transaction.key.owner().equals(owner)) {
        transactions.remove(transaction.key);
        end(transaction);
      }
    }
    queue.take(w -> w.transaction != null && w.transaction.abandoned);
  }

  /** Returns whether the transaction runs here. */
  public boolean hasTransaction(Object owner, long number) {
    return transactions.containsKey(new PoolTransaction.Key(owner, number));
  }

  /** Takes no new work; what runs, and transactions that have begun, may end. */
  public void retire() {
    retiring = true;
    List<Waiting> rest = queue.take(w -> !w.isPinned());
    rest.forEach(this::forget);
    rest.forEach(w -> w.handler.onNotHome());
    for (PoolServer s : servers.values()) {
      new ArrayList<>(s.idle).forEach(this::drop);
    }
  }

  /** Returns whether nothing runs and no transaction is open. */
  public boolean isIdle() {
    return running.isEmpty() && transactions.isEmpty() && queue.isEmpty();
  }

  /** Ends everything at once: another instance takes over. */
  public void stop() {
    stopped = true;
    ticker.cancel();
    for (Waiting w : queue.take(w -> true)) {
      if (w.isPinned()) {
        w.handler.onAnswer(aborted("the home of the group changed"));
      } else {
        w.handler.onNotHome();
      }
    }
    transactions.clear();
    servers.values().forEach(this::closeAll);
  }

  private void end(PoolTransaction transaction) {
    transaction.abandoned = true;
    PooledConnection c = transaction.connection;
    if (c == null || c.closed) {
      return;
    }
    if (transaction.running) {
      drop(c);
      pump();
      return;
    }
    c.transaction = null;
    c.link.send(
        new ServerCommand.Rollback(),
        new ServerLink.AnswerHandler() {
          @Override
          public void onAnswer(Answer answer) {
            giveBack(c, answer);
            pump();
          }

          @Override
          public void onLost() {}
        });
  }

  private void giveBack(PooledConnection c, Answer last) {
    if (c.closed) {
      return;
    }
    if (retiring || last.state() != TransactionState.IDLE || !c.server.acceptsNewWork()) {
      drop(c);
      return;
    }
    c.transaction = null;
    c.server.idle.addLast(c);
  }

  private void drop(PooledConnection c) {
    if (!c.closed) {
      c.closed = true;
      c.server.connections.remove(c);
      c.server.idle.remove(c);
      c.link.close();
    }
  }

  /** Returns the expected time until a server takes the work, -1 if none can. */
  private long expectedWaitMillis(Waiting w) {
    return w.isPinned()
        ? 0
        : queue.expectedWaitMillis(w, statementsPerNano(w), !anyReplicaServes());
  }

  private boolean anyReplicaServes() {
    for (PoolServer s : servers.values()) {
      if (!s.primary && s.acceptsNewWork()) {
        return true;
      }
    }
    return false;
  }

  /** Returns how many statements a nanosecond the servers that may run the work can take. */
  private double statementsPerNano(Waiting w) {
    long now = scheduler.nanoTime();
    LogPosition floor = w.work.replicaMayServe() ? floors.floorFor(w.work, w.arrivedNanos) : null;
    double rate = 0;
    for (PoolServer s : servers.values()) {
      boolean serves =
          s.primary
              ? halt.allows(w.work)
              : floor != null && ServerChoice.isFresh(s, floor, floors, now);
      if (serves && s.acceptsNewWork()) {
        rate += Math.max(1, s.entry.slots()) / s.serviceNanos;
      }
    }
    return rate;
  }

  private void pump() {
    if (pumping || stopped) {
      return;
    }
    pumping = true;
    try {
      long now = scheduler.nanoTime();
      boolean allowed = mayWork.test(now);
      postponeLate(now);
      Iterator<Waiting> i = queue.iterator();
      List<Waiting> refused = new ArrayList<>();
      while (i.hasNext() && (!allowed || anyRoom())) {
        Waiting w = i.next();
        if (w.transaction != null && w.transaction.abandoned) {
          i.remove();
        } else if (!allowed) {
          i.remove();
          refused.add(w);
        } else if (now >= w.notBeforeNanos && tryDispatch(w, now)) {
          i.remove();
        }
      }
      refused.forEach(w -> refuse(w, "this home cannot confirm that it still is one", 500));
    } finally {
      pumping = false;
    }
  }

  /** Returns whether some server takes another statement; a long queue is not gone through else. */
  private boolean anyRoom() {
    for (PoolServer s : servers.values()) {
      if (s.busy < ServerChoice.limit(s)) {
        return true;
      }
    }
    return false;
  }

  /** Moves late statements back, and refuses those that will not be served behind the others. */
  private void postponeLate(long now) {
    for (Waiting w : queue.takeLate(now)) {
      long wait = expectedWaitMillis(w);
      if (!w.isPinned() && wait * 1_000_000 > w.deadlineNanos() - now) {
        scheduler.schedule(
            Duration.ZERO,
            () -> refuse(w, "others that can still be in time take the servers", RETURN_MILLIS));
      } else {
        queue.add(w);
      }
    }
  }

  private boolean tryDispatch(Waiting w, long now) {
    PoolTransaction t = w.transaction;
    if (t != null && t.connection != null && t.begun) {
      PooledConnection c = t.connection;
      if (c.closed) {
        scheduler.schedule(Duration.ZERO, () -> abort(w, "the connection to the server was lost"));
        return true;
      }
      if (c.server.busy >= ServerChoice.limit(c.server)) {
        return false;
      }
      run(w, c, null, now);
      return true;
    }
    LogPosition floor = w.work.replicaMayServe() ? floors.floorFor(w.work, w.arrivedNanos) : null;
    PoolServer best =
        ServerChoice.choose(servers.values(), w, floor, halt, floors, now, this::hasConnection);
    if (best == null) {
      return false;
    }
    PooledConnection c = best.takeIdle(w.work.values());
    if (c == null) {
      openConnection(best);
      return false;
    }
    if (t != null) {
      t.connection = c;
      c.transaction = t;
    }
    run(w, c, best.primary ? null : floor, now);
    return true;
  }

  /** Returns whether there is, or may soon be, a connection; opens one ahead if not. */
  private boolean hasConnection(PoolServer s) {
    if (!s.idle.isEmpty()) {
      return true;
    }
    openConnection(s);
    return false;
  }

  private void run(Waiting w, PooledConnection c, @Nullable LogPosition floor, long now) {
    c.server.busy++;
    w.attempts++;
    queue.onDispatched(w);
    PoolTransaction t = w.transaction;
    List<ServerCommand> setup = new ArrayList<>(c.prepareFor(w.work.values(), w.work.template()));
    if (t != null && !t.begun) {
      t.begun = true;
      setup.add(new ServerCommand.Begin(t.readOnly, t.readOnly ? floor : null));
    }
    LogPosition statementFloor = t == null ? floor : null;
    if (setup.isEmpty()) {
      send(w, c, statementFloor, now);
      return;
    }
    Setup handler = new Setup(w, c, statementFloor, setup.size());
    setup.forEach(command -> c.link.send(command, handler));
  }

  private void send(Waiting w, PooledConnection c, @Nullable LogPosition floor, long now) {
    Work work = w.work;
    ServerCommand command =
        switch (work.kind()) {
          case READ, WRITE -> new ServerCommand.Forward(work.requestId(), floor, work.text());
          case EXECUTE ->
              new ServerCommand.Execute(
                  work.requestId(),
                  work.writes() ? null : floor,
                  work.template() == null ? "" : c.preparedName(work.template()),
                  work.text());
          case COMMIT -> new ServerCommand.Commit(work.requestId());
        };
    if (w.transaction != null && work.writes()) {
      w.transaction.wrote = true;
    }
    Main main = new Main(w, c, now);
    running.add(main);
    c.link.send(command, main);
  }

  /** Follows the commands that prepare a connection for a statement. */
  private final class Setup implements ServerLink.AnswerHandler {
    private final Waiting waitingFor;
    private final PooledConnection connection;
    private final @Nullable LogPosition floor;
    private final long sentNanos = scheduler.nanoTime();
    private int outstanding;
    private @Nullable Answer failed;

    Setup(Waiting w, PooledConnection c, @Nullable LogPosition floor, int outstanding) {
      this.waitingFor = w;
      this.connection = c;
      this.floor = floor;
      this.outstanding = outstanding;
    }

    @Override
    public void onAnswer(Answer answer) {
      if (connection.closed) {
        return;
      }
      heard(connection.server, sentNanos, answer);
      if (!answer.succeeded() && failed == null) {
        failed = answer;
      }
      if (--outstanding > 0) {
        return;
      }
      if (failed == null) {
        send(waitingFor, connection, floor, scheduler.nanoTime());
        return;
      }
      connection.server.busy--;
      drop(connection);
      nothingRan(waitingFor, connection.server, failed);
      pump();
    }

    @Override
    public void onLost() {
      if (outstanding > 0) {
        outstanding = 0;
        connection.server.busy--;
        nothingSent(waitingFor, connection.server);
      }
    }
  }

  /** Follows a client's statement at a server. */
  private final class Main implements ServerLink.AnswerHandler {
    private final Waiting waitingFor;
    private final PooledConnection connection;
    private final long sentNanos;

    Main(Waiting w, PooledConnection c, long sentNanos) {
      this.waitingFor = w;
      this.connection = c;
      this.sentNanos = sentNanos;
    }

    @Override
    public void onAnswer(Answer answer) {
      PoolServer server = connection.server;
      running.remove(this);
      server.busy--;
      heard(server, sentNanos, answer);
      if (answer.succeeded()) {
        server.onServed(scheduler.nanoTime() - sentNanos);
      }
      answered(waitingFor, connection, answer, sentNanos);
      pump();
    }

    @Override
    public void onLost() {
      running.remove(this);
      connection.server.busy--;
      lost(waitingFor, connection);
    }

    /** Returns whether the answer is so late that it was probably lost. */
    boolean isOverdue(long now) {
      long usual = (long) (connection.server.serviceNanos * LATE_FACTOR);
      boolean mayRepeat = waitingFor.transaction == null && !waitingFor.work.writes();
      long least = mayRepeat ? LATE_READ_NANOS : LATE_WRITE_NANOS;
      return now - sentNanos > Math.max(least, usual);
    }

    boolean isCommit() {
      return waitingFor.work.kind() == WorkKind.COMMIT || waitingFor.work.writes();
    }
  }

  private void heard(PoolServer server, long sentNanos, Answer answer) {
    long now = scheduler.nanoTime();
    server.lastHeardNanos = now;
    LogPosition position = answer.position();
    if (position == null) {
      return;
    }
    server.onPosition(position);
    if (server.primary) {
      primaryServedNanos = halt.equals(PrimaryHalt.NOTHING) ? now : primaryServedNanos;
      floors.sample(sentNanos, position);
    } else {
      long age = floors.ageMillis(position, now);
      if (age >= 0) {
        server.lagMillis = age;
      }
    }
  }

  private void answered(Waiting w, PooledConnection c, Answer answer, long sentNanos) {
    FailureCode failure = answer.failure();
    PoolTransaction t = w.transaction;
    if (t != null) {
      t.running = false;
      t.lastUsedNanos = scheduler.nanoTime();
    }
    if (failure != null && failure.guaranteesNoEffect() && retryable(w, answer)) {
      if (t == null) {
        if (failure == FailureCode.NOT_PREPARED) {
          c.forgetPrepared();
        }
        giveBack(c, answer);
      } else {
        drop(c);
      }
      nothingRan(w, c.server, answer);
      return;
    }
    if (t == null) {
      giveBack(c, answer);
      if (failure == FailureCode.FAILED && !w.work.writes() && w.attempts < 2) {
        w.avoid = c.server.entry.id();
        queue.add(w);
        return;
      }
    } else if (w.work.kind() == WorkKind.COMMIT || answer.state() == TransactionState.IDLE) {
      transactions.remove(t.key);
      giveBack(c, answer);
    }
    if (answer.succeeded() && (w.work.kind() == WorkKind.COMMIT || w.work.writes())) {
      LogPosition position = answer.position();
      if (position != null && c.server.primary && position.term() == term) {
        acknowledged = acknowledged.max(position);
      }
    }
    deliver(w, c.server, answer, sentNanos);
  }

  /** Returns whether the home itself should try again: nothing ran and nothing precedes it. */
  private boolean retryable(Waiting w, Answer answer) {
    boolean startsAnew = w.transaction == null || w.work.begins();
    return startsAnew
        && w.attempts < MAXIMUM_ATTEMPTS
        && scheduler.nanoTime() < w.deadlineNanos()
        && !answer.failedWith(FailureCode.MALFORMED)
        && !answer.failedWith(FailureCode.TOO_LARGE)
        && !answer.failedWith(FailureCode.ABORTED);
  }

  /** Sends a statement again of which a server said that nothing ran. */
  private void nothingRan(Waiting w, PoolServer server, Answer answer) {
    FailureCode failure = answer.failure();
    if (failure == FailureCode.NOT_PRIMARY && server.primary) {
      listener.onPrimaryRoleRefused(server.entry.id());
    }
    if (failure == FailureCode.REPLICA_BEHIND && !server.primary) {
      w.avoid = server.entry.id();
    }
    if (!retryable(w, answer)) {
      forget(w);
      deliver(w, server, Answer.failure(FailureCode.OVERLOADED, "retry after 100 ms", ended(w)), 0);
      return;
    }
    if (failure != FailureCode.REPLICA_BEHIND && failure != FailureCode.NOT_PREPARED) {
      w.notBeforeNanos = scheduler.nanoTime() + BUSY_PAUSE_NANOS;
    }
    again(w);
  }

  private void nothingSent(Waiting w, PoolServer server) {
    if (w.transaction != null && !w.work.begins()) {
      abort(w, "the connection to server " + server.entry.id() + " was lost");
    } else if (w.attempts < MAXIMUM_ATTEMPTS) {
      again(w);
    } else {
      refuse(w, "server " + server.entry.id() + " was lost", 100);
    }
  }

  private void again(Waiting w) {
    PoolTransaction t = w.transaction;
    if (t != null) {
      t.begun = false;
      t.wrote = false;
      t.connection = null;
      if (t.abandoned) {
        return;
      }
    }
    queue.add(w);
  }

  /**
   * Ends or repeats a statement whose answer was lost. One within a transaction is not repeated: it
   * may have run, and a transaction stays on one connection.
   */
  private void lost(Waiting w, PooledConnection c) {
    PoolTransaction t = w.transaction;
    String server = c.server.entry.id();
    if (t != null && t.abandoned) {
      return;
    }
    boolean doubtful = t == null ? w.work.writes() : w.work.kind() == WorkKind.COMMIT && t.wrote;
    if (doubtful) {
      forget(w);
      deliver(
          w,
          c.server,
          Answer.failure(FailureCode.IN_DOUBT, "server " + server + " did not answer", ended(w)),
          0);
    } else if (t == null) {
      if (w.attempts < MAXIMUM_ATTEMPTS && scheduler.nanoTime() < w.deadlineNanos()) {
        w.avoid = c.server.primary ? null : server;
        again(w);
      } else {
        refuse(w, "server " + server + " did not answer", 100);
      }
    } else {
      abort(w, "the connection to server " + server + " was lost");
    }
  }

  private void abort(Waiting w, String reason) {
    forget(w);
    deliver(w, null, aborted(reason), 0);
  }

  private void refuse(Waiting w, String reason, long retryMillis) {
    forget(w);
    String text = reason + "; retry after " + Math.max(20, retryMillis) + " ms";
    if (w.transaction != null && !w.work.begins()) {
      if (w.transaction.connection != null) {
        drop(w.transaction.connection);
      }
      deliver(w, null, aborted(text), 0);
    } else {
      deliver(w, null, Answer.failure(FailureCode.OVERLOADED, text, ended(w)), 0);
    }
  }

  private void forget(Waiting w) {
    if (w.transaction != null) {
      transactions.remove(w.transaction.key);
    }
  }

  private static TransactionState ended(Waiting w) {
    boolean openForClient = w.transaction != null && w.work.kind() != WorkKind.COMMIT;
    return openForClient ? TransactionState.FAILED : TransactionState.IDLE;
  }

  private static Answer aborted(String reason) {
    return Answer.failure(FailureCode.ABORTED, reason, TransactionState.FAILED);
  }

  private void deliver(Waiting w, @Nullable PoolServer server, Answer answer, long sentNanos) {
    FailureCode failure = answer.failure();
    DecisionLog.Priority weight =
        failure == null ? DecisionLog.Priority.SUCCESS : DecisionLog.Priority.FAILURE;
    long now = scheduler.nanoTime();
    boolean fromReplica = server != null && !server.primary;
    metrics.answered(w.work.kind(), failure, fromReplica, (now - w.arrivedNanos) / 1_000_000);
    DecisionLog.Line line =
        log.event(weight, "statement")
            .with("request", w.work.requestId())
            .with("group", group)
            .with("kind", w.work.kind())
            .with("outcome", failure == null ? "done" : failure.name())
            .with("took_ms", (now - w.arrivedNanos) / 1_000_000)
            .with("attempts", w.attempts);
    if (sentNanos > 0) {
      line.with("waited_ms", (sentNanos - w.arrivedNanos) / 1_000_000);
    }
    if (server != null) {
      line.with("server", server.entry.id())
          .with("server_busy", server.busy)
          .with("server_position", server.position);
    }
    if (failure != null) {
      line.with("reason", answer.text()).with("queued", queue.size());
    }
    line.with("term", term).write();
    w.handler.onAnswer(answer);
  }

  private void openConnection(PoolServer s) {
    if (s.opening >= OPENING_AT_A_TIME
        || s.connections.size() + s.opening >= maximumConnections
        || s.unreachable
        || s.gone
        || retiring) {
      return;
    }
    s.opening++;
    connector.connect(
        s.target(),
        new ServerConnector.Listener() {
          private @Nullable PooledConnection connection;

          @Override
          public void onOpen(ServerLink link, @Nullable LogPosition position) {
            s.opening--;
            if (stopped || s.gone) {
              link.close();
              return;
            }
            connection = new PooledConnection(s, link);
            s.connections.add(connection);
            s.idle.addLast(connection);
            s.lastHeardNanos = scheduler.nanoTime();
            s.onPosition(position);
            pump();
          }

          @Override
          public void onFailure(ServerConnector.ConnectFailure failure, String detail) {
            s.opening--;
            if (failure == ServerConnector.ConnectFailure.REFUSED) {
              monitor.fail(s, ServerLoss.REFUSED, detail);
            }
          }

          @Override
          public void onClosed() {
            if (connection != null) {
              drop(connection);
              dropTransactionOf(connection);
              pump();
            }
          }
        });
  }

  private void dropTransactionOf(PooledConnection c) {
    PoolTransaction t = c.transaction;
    if (t != null && !t.running) {
      transactions.remove(t.key);
    }
  }

  private void closeAll(PoolServer s) {
    ServerLink control = s.control;
    s.control = null;
    s.statusOutstanding = false;
    if (control != null) {
      control.close();
    }
    for (PooledConnection c : new ArrayList<>(s.connections)) {
      drop(c);
      dropTransactionOf(c);
    }
  }

  private void tick() {
    long now = scheduler.nanoTime();
    monitor.tick(List.copyOf(servers.values()), floors.isOlderThan(PRIMARY_POSITION_AGE, now));
    for (Main late : running.stream().filter(m -> m.isOverdue(now)).toList()) {
      drop(late.connection);
    }
    expire(now);
    pump();
  }

  private void expire(long now) {
    for (Waiting w : queue.take(w -> now > w.deadlineNanos())) {
      refuse(w, "no server had room in time", expectedWaitMillis(w));
    }
    for (PoolTransaction t : new ArrayList<>(transactions.values())) {
      if (!t.running && now - t.lastUsedNanos > transactionIdleNanos) {
        transactions.remove(t.key);
        end(t);
      }
    }
  }

  /** What the monitor may do with the pool. */
  private final class Monitored implements ServerMonitor.Pool {
    @Override
    public boolean isStopped() {
      return stopped;
    }

    @Override
    public void closeConnections(PoolServer server) {
      closeAll(server);
    }

    @Override
    public void onAnswer(PoolServer server, long sentNanos, Answer answer) {
      heard(server, sentNanos, answer);
    }

    @Override
    public void onChange() {
      pump();
    }
  }
}
