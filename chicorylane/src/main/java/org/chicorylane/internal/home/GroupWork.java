package org.chicorylane.internal.home;

import io.netty.util.concurrent.EventExecutor;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.chicorylane.internal.backend.ConnectResult;
import org.chicorylane.internal.backend.ServerConnection;
import org.chicorylane.internal.declaration.DatabaseGroup;
import org.chicorylane.internal.failover.CloseReason;
import org.chicorylane.internal.failover.ConfirmationTracker;
import org.chicorylane.internal.failover.HomeAction;
import org.chicorylane.internal.failover.HomeEvent;
import org.chicorylane.internal.failover.ServerRole;
import org.chicorylane.internal.outcome.NotRunReason;
import org.chicorylane.internal.outcome.Outcome;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.relay.GroupRequest;
import org.chicorylane.internal.relay.RequestKind;
import org.chicorylane.internal.statement.StatementResult;
import org.jspecify.annotations.Nullable;

/**
 * The requests of one group at its home: those that wait, those that run, and the writes that wait
 * for confirmation.
 *
 * <p>Runs on the group's executor only.
 */
final class GroupWork {
  private static final Duration RETRY_AFTER = Duration.ofMillis(500);
  private static final Duration LEDGER_RETRY = Duration.ofMillis(100);
  private static final Duration ABANDON_AFTER = Duration.ofSeconds(2);

  private final HomeEnvironment environment;
  private final EventExecutor executor;
  private final Consumer<HomeEvent> machine;
  private final InteractiveTransactions transactions;
  private final ConfirmationTracker tracker = new ConfirmationTracker();
  private final Map<String, Unconfirmed> unconfirmed = new HashMap<>();
  private final Map<String, ServerInUse> servers = new HashMap<>();
  private final Deque<Ticket> waiting = new ArrayDeque<>();
  private DatabaseGroup group;
  private HomeAction.@Nullable OpenWrites opening;
  private HomeAction.@Nullable OpenWrites writes;
  private long ledgerTerm;
  private @Nullable String movedTo;
  private long nextTicket = 1;

  /** A committed write that waits for confirmation. */
  private record Unconfirmed(
      Ticket ticket,
      String server,
      List<StatementResult> results,
      LogPosition position,
      boolean replayed) {}

  GroupWork(
      HomeEnvironment environment,
      EventExecutor executor,
      DatabaseGroup group,
      Consumer<HomeEvent> machine) {
    this.environment = environment;
    this.executor = executor;
    this.group = group;
    this.machine = machine;
    this.transactions =
        new InteractiveTransactions(
            environment.fleet().self().instance(), environment.limits().transactionIdleLimit());
  }

  CompletableFuture<Outcome> submit(GroupRequest request) {
    Ticket ticket = new Ticket(nextTicket++, request);
    Instant now = environment.clock().instant();
    Optional<String> objection = StatementGuard.firstObjection(request.statements());
    if (objection.isPresent()) {
      ticket.refuse(NotRunReason.NOT_ALLOWED, Duration.ZERO, objection.get());
    } else if (servers.isEmpty() || (movedTo != null && request.transaction() == null)) {
      ticket.refuse(NotRunReason.NOT_HOME, Duration.ZERO, String.valueOf(movedTo));
    } else if (waiting.size() >= environment.limits().waitingRequests()) {
      ticket.refuse(NotRunReason.OVERLOADED, RETRY_AFTER, "the queue of the group is full");
    } else {
      waiting.add(ticket);
      long left = Math.max(0, Duration.between(now, request.deadline()).toMillis());
      executor.schedule(() -> expire(ticket), left, TimeUnit.MILLISECONDS);
      dispatch();
    }
    return ticket.outcome();
  }

  void declare(DatabaseGroup declared) {
    group = declared;
  }

  void openWrites(HomeAction.OpenWrites opened) {
    movedTo = null;
    settle(tracker.open(opened.term(), opened.voters()));
    opening = opened;
    if (writes != null || opened.term() == ledgerTerm) {
      writesOpen(opened);
    } else {
      createLedger(opened);
    }
  }

  private void writesOpen(HomeAction.OpenWrites opened) {
    if (opened.equals(opening)) {
      writes = opened;
      dispatch();
    }
  }

  /** The ledger table has to be there before the first write of a term. */
  private void createLedger(HomeAction.OpenWrites opened) {
    ServerInUse primary = servers.get(opened.primary());
    if (primary == null || !opened.equals(opening)) {
      return;
    }
    primary
        .pool()
        .take()
        .thenCompose(r -> LedgerSetup.run(r, primary.pool()))
        .thenAcceptAsync(
            created -> {
              if (created) {
                ledgerTerm = opened.term();
                writesOpen(opened);
              } else {
                executor.schedule(
                    () -> createLedger(opened), LEDGER_RETRY.toMillis(), TimeUnit.MILLISECONDS);
              }
            },
            executor);
  }

  void closeWrites(CloseReason reason) {
    String primary = writes == null ? "" : writes.primary();
    writes = null;
    opening = null;
    if (reason == CloseReason.HANDING_OVER) {
      movedTo = "";
      refuseWaiting();
    }
    if (!reason.endsPending()) {
      return;
    }
    settle(tracker.end());
    ServerInUse replaced = servers.get(primary);
    if (replaced != null) {
      doubtRunning(replaced, "the primary \"" + primary + "\" is being replaced");
    }
  }

  void logHeld(HomeAction.LogHeld held) {
    settle(tracker.held(held.server(), held.term(), held.offset()));
  }

  void sampled(HomeAction.ServerSampled sample) {
    ServerInUse server = servers.get(sample.server());
    if (server != null) {
      server.setReplayed(sample.replayed());
      dispatch();
    }
  }

  void useServer(String name, ServerRole role) {
    ServerInUse known = servers.get(name);
    if (known != null && !known.isDropped()) {
      known.setRole(role);
      dispatch();
      return;
    }
    group
        .server(name)
        .ifPresent(
            s -> {
              ServerPool pool = new ServerPool(environment.connector(), executor, group, s);
              servers.put(name, new ServerInUse(s, pool, role));
              pool.warmUp();
              dispatch();
            });
  }

  void dropServer(String name) {
    ServerInUse server = servers.get(name);
    if (server == null) {
      machine.accept(new HomeEvent.WorkEnded(name));
      return;
    }
    server.drop();
    server.pool().closeWhenIdle();
    endIfIdle(server);
  }

  /** Ends every request; called when the home lets go of the group. */
  void released(String toInstance) {
    movedTo = toInstance;
    refuseWaiting();
    for (ServerInUse s : List.copyOf(servers.values())) {
      doubtRunning(s, "the home of the group has moved");
      s.pool().closeNow();
    }
    servers.clear();
    settle(tracker.end());
  }

  void tick(Instant now) {
    settle(tracker.expire(now));
    for (InteractiveTransactions.Open t : transactions.removeIdle(now)) {
      TransactionRunner.rollback(t.connection())
          .thenAcceptAsync(e -> release(t.server(), t.connection(), e), executor);
    }
  }

  boolean wantsObservation() {
    return tracker.wantsObservation();
  }

  boolean isIdle() {
    return transactions.size() == 0
        && tracker.pendingCount() == 0
        && servers.values().stream().allMatch(s -> s.running().isEmpty());
  }

  private void dispatch() {
    for (Iterator<Ticket> i = waiting.iterator(); i.hasNext(); ) {
      Ticket ticket = i.next();
      if (ticket.isDone()) {
        i.remove();
        continue;
      }
      ServerInUse server = serverFor(ticket.request());
      if (server != null) {
        i.remove();
        start(ticket, server);
      }
    }
  }

  private @Nullable ServerInUse serverFor(GroupRequest request) {
    if (request.transaction() != null) {
      String name = transactions.find(request.transaction()).map(t -> t.server()).orElse("");
      ServerInUse pinned = servers.get(name);
      return pinned != null ? pinned : servers.values().iterator().next();
    }
    if (request.kind() == RequestKind.READ) {
      return readerFor(request);
    }
    ServerInUse primary = writes == null ? null : servers.get(writes.primary());
    return primary != null && primary.hasFreeSlot() ? primary : null;
  }

  private @Nullable ServerInUse readerFor(GroupRequest request) {
    LogPosition floor = request.floor() == null ? LogPosition.ZERO : request.floor();
    Optional<ServerInUse> replica =
        servers.values().stream()
            .filter(s -> s.role() == ServerRole.REPLICA && s.hasFreeSlot())
            .filter(s -> s.replayed().compareTo(floor) >= 0)
            .min(Comparator.comparingInt(s -> s.running().size()));
    if (replica.isPresent()) {
      return replica.get();
    }
    ServerInUse primary = writes == null ? null : servers.get(writes.primary());
    return primary != null && primary.hasFreeSlot() ? primary : null;
  }

  private void start(Ticket ticket, ServerInUse server) {
    GroupRequest request = ticket.request();
    if (request.transaction() != null) {
      continueTransaction(ticket);
      return;
    }
    server.running().add(ticket);
    server
        .pool()
        .take()
        .thenAccept(
            r -> {
              if (r instanceof ConnectResult.Opened opened) {
                run(ticket, server, opened.connection());
              } else if (r instanceof ConnectResult.Failed failed) {
                server.running().remove(ticket);
                refuseIfOpen(ticket, NotRunReason.OVERLOADED, failed.reason());
                endIfIdle(server);
              }
            });
  }

  private void run(Ticket ticket, ServerInUse server, ServerConnection connection) {
    if (ticket.isDone()) {
      server.running().remove(ticket);
      server.pool().giveBack(connection);
      return;
    }
    ticket.sendTo(connection);
    GroupRequest request = ticket.request();
    boolean onReplica = server.role() == ServerRole.REPLICA;
    long term = writes == null ? 0 : writes.term();
    Instant now = environment.clock().instant();
    CompletableFuture<Execution> running =
        switch (request.kind()) {
          case READ -> TransactionRunner.read(connection, request, onReplica);
          case WRITE -> TransactionRunner.write(connection, request, now);
          default -> TransactionRunner.begin(connection, request, now);
        };
    running.thenAcceptAsync(e -> ended(ticket, server, connection, term, onReplica, e), executor);
  }

  private void ended(
      Ticket ticket,
      ServerInUse server,
      ServerConnection connection,
      long term,
      boolean fromReplica,
      Execution execution) {
    server.running().remove(ticket);
    if (execution instanceof Execution.StillOpen open) {
      if (ticket.isDone()) {
        TransactionRunner.rollback(connection)
            .thenAcceptAsync(e -> release(server.name(), connection, e), executor);
      } else {
        opened(ticket, server, connection, open);
      }
    } else {
      release(server.name(), connection, execution);
      finish(ticket, server.name(), term, fromReplica, execution);
    }
    endIfIdle(server);
    dispatch();
  }

  private void opened(
      Ticket ticket, ServerInUse server, ServerConnection connection, Execution.StillOpen open) {
    InteractiveTransactions.Open t =
        transactions.open(
            server.name(),
            connection,
            ticket.request().idempotencyKey(),
            environment.clock().instant());
    t.end(open.results(), environment.clock().instant());
    ticket.complete(
        new Outcome.Completed(open.results(), null, false, server.name(), false, t.handle()));
  }

  private void continueTransaction(Ticket ticket) {
    GroupRequest request = ticket.request();
    InteractiveTransactions.Open t = transactions.find(request.transaction()).orElse(null);
    if (t == null || t.isBusy()) {
      refuseIfOpen(
          ticket,
          t == null ? NotRunReason.UNKNOWN_TRANSACTION : NotRunReason.NOT_ALLOWED,
          t == null ? "no such transaction" : "another request of the transaction is running");
      return;
    }
    ServerInUse server = servers.get(t.server());
    if (server == null) {
      transactions.remove(t);
      refuseIfOpen(ticket, NotRunReason.UNKNOWN_TRANSACTION, "its server was lost");
      return;
    }
    t.begin();
    ticket.sendTo(t.connection());
    server.running().add(ticket);
    long term = writes == null ? 0 : writes.term();
    CompletableFuture<Execution> running =
        switch (request.kind()) {
          case COMMIT -> TransactionRunner.commit(t.connection(), t.idempotencyKey(), t.results());
          case ROLLBACK -> TransactionRunner.rollback(t.connection());
          default -> TransactionRunner.proceed(t.connection(), request.statements());
        };
    running.thenAcceptAsync(e -> continued(ticket, t, server, term, e), executor);
  }

  private void continued(
      Ticket ticket,
      InteractiveTransactions.Open t,
      ServerInUse server,
      long term,
      Execution execution) {
    server.running().remove(ticket);
    if (execution instanceof Execution.StillOpen open) {
      t.end(open.results(), environment.clock().instant());
      ticket.complete(
          new Outcome.Completed(open.results(), null, false, t.server(), false, t.handle()));
    } else {
      transactions.remove(t);
      release(t.server(), t.connection(), execution);
      finish(ticket, t.server(), term, false, execution);
    }
    endIfIdle(server);
    dispatch();
  }

  /** Gives back a connection that is clean, and ends one whose state is not known. */
  private void release(String serverName, ServerConnection connection, Execution execution) {
    ServerInUse server = servers.get(serverName);
    if (server == null) {
      connection.close();
    } else if (execution instanceof Execution.InDoubt) {
      server.pool().discard(connection);
    } else {
      server.pool().giveBack(connection);
    }
  }

  private void finish(
      Ticket ticket, String server, long term, boolean fromReplica, Execution execution) {
    if (execution instanceof Execution.Refused r) {
      ticket.complete(new Outcome.Rejected(r.sqlState(), r.message(), r.statementIndex()));
    } else if (execution instanceof Execution.KeyReused) {
      ticket.complete(
          new Outcome.NotRun(
              NotRunReason.KEY_REUSED,
              Duration.ZERO,
              "idempotency key \"" + ticket.request().idempotencyKey() + "\""));
    } else if (execution instanceof Execution.InDoubt d) {
      ticket.doubt(RETRY_AFTER, d.reason());
    } else if (execution instanceof Execution.Committed c) {
      committed(ticket, server, term, fromReplica, c);
    }
  }

  private void committed(
      Ticket ticket, String server, long term, boolean fromReplica, Execution.Committed c) {
    RequestKind kind = ticket.request().kind();
    if (kind == RequestKind.READ || kind == RequestKind.ROLLBACK) {
      ticket.complete(new Outcome.Completed(c.results(), null, false, server, fromReplica, null));
      return;
    }
    LogPosition position = new LogPosition(term, c.offset());
    String id = ticket.request().requestId() + "/" + ticket.id();
    unconfirmed.put(id, new Unconfirmed(ticket, server, c.results(), position, c.replayed()));
    settle(tracker.submit(id, position, ticket.request().deadline()));
    if (tracker.wantsObservation()) {
      machine.accept(new HomeEvent.ObserveNow());
    }
  }

  private void settle(List<ConfirmationTracker.Settlement> settlements) {
    for (ConfirmationTracker.Settlement s : settlements) {
      Unconfirmed u = unconfirmed.remove(s.id());
      if (u == null) {
        continue;
      }
      if (s.confirmed()) {
        u.ticket()
            .complete(
                new Outcome.Completed(
                    u.results(), u.position(), u.replayed(), u.server(), false, null));
      } else {
        u.ticket().doubt(RETRY_AFTER, "committed on \"" + u.server() + "\" but not confirmed");
      }
      ServerInUse server = servers.get(u.server());
      if (server != null) {
        endIfIdle(server);
      }
    }
  }

  private void doubtRunning(ServerInUse server, String why) {
    for (Ticket t : List.copyOf(server.running())) {
      if (!t.isDone() && t.wasSent()) {
        t.doubt(RETRY_AFTER, why);
      }
    }
    for (InteractiveTransactions.Open t : transactions.removeAll(server.name())) {
      t.connection().close();
    }
  }

  private void endIfIdle(ServerInUse server) {
    boolean waits = unconfirmed.values().stream().anyMatch(u -> u.server().equals(server.name()));
    if (!server.isDropped()
        || waits
        || !server.running().isEmpty()
        || transactions.openOn(server.name()) > 0
        || servers.get(server.name()) != server) {
      return;
    }
    servers.remove(server.name());
    machine.accept(new HomeEvent.WorkEnded(server.name()));
  }

  private void expire(Ticket ticket) {
    if (ticket.isDone()) {
      return;
    }
    if (ticket.wasSent()) {
      ticket.doubt(RETRY_AFTER, "the deadline passed while the request was running");
      executor.schedule(
          () -> abandonIfRunning(ticket), ABANDON_AFTER.toMillis(), TimeUnit.MILLISECONDS);
      return;
    }
    waiting.remove(ticket);
    boolean noPrimary = ticket.request().kind().needsPrimary() && writes == null;
    ticket.refuse(
        noPrimary ? NotRunReason.NO_PRIMARY : NotRunReason.DEADLINE_TOO_CLOSE,
        RETRY_AFTER,
        "the deadline passed while the request was waiting");
  }

  /** A connection that still has not answered is taken for silent. */
  private void abandonIfRunning(Ticket ticket) {
    if (servers.values().stream().anyMatch(s -> s.running().contains(ticket))) {
      ticket.abandonConnection();
    }
  }

  private void refuseWaiting() {
    List<Ticket> all = new ArrayList<>(waiting);
    waiting.clear();
    for (Ticket t : all) {
      refuseIfOpen(t, NotRunReason.NOT_HOME, String.valueOf(movedTo));
    }
  }

  private static void refuseIfOpen(Ticket ticket, NotRunReason reason, String detail) {
    if (!ticket.isDone()) {
      ticket.refuse(reason, reason.isTransient() ? RETRY_AFTER : Duration.ZERO, detail);
    }
  }
}
