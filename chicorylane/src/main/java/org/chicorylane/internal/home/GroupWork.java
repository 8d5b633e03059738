package org.chicorylane.internal.home;

import io.netty.util.concurrent.EventExecutor;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.chicorylane.internal.admission.AdmissionAction;
import org.chicorylane.internal.admission.AdmissionQueue;
import org.chicorylane.internal.admission.AdmissionSettings;
import org.chicorylane.internal.admission.ConcurrencyPolicy;
import org.chicorylane.internal.admission.ServiceOutcome;
import org.chicorylane.internal.admission.Ticket;
import org.chicorylane.internal.declaration.DatabaseGroup;
import org.chicorylane.internal.declaration.RequestClass;
import org.chicorylane.internal.failover.CloseReason;
import org.chicorylane.internal.failover.HomeAction;
import org.chicorylane.internal.failover.HomeEvent;
import org.chicorylane.internal.failover.ServerRole;
import org.chicorylane.internal.outcome.NotRunReason;
import org.chicorylane.internal.outcome.Outcome;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.relay.GroupRequest;
import org.chicorylane.internal.relay.RequestKind;
import org.chicorylane.internal.routing.RoutingDecision;
import org.chicorylane.internal.statement.Statement;
import org.jspecify.annotations.Nullable;

/**
 * The requests of one group at its home: admits, routes and runs them, and acknowledges writes that
 * are confirmed.
 *
 * <p>Runs on the group's executor only.
 */
final class GroupWork implements WorkRunner.Listener {
  /** The class of requests that name none. */
  private static final RequestClass DEFAULT_CLASS = new RequestClass("default", 1, 0, false, false);

  private static final Duration EXPECTED_FAILOVER = Duration.ofSeconds(2);
  private static final Duration LEDGER_RETRY = Duration.ofMillis(100);
  private static final Duration PURGE_INTERVAL = Duration.ofMinutes(10);
  private static final Duration ABANDON_AFTER = Duration.ofSeconds(2);
  private static final String INSUFFICIENT_RESOURCES = "53";

  private final HomeEnvironment environment;
  private final EventExecutor executor;
  private final Consumer<HomeEvent> machine;
  private final InteractiveTransactions transactions;
  private final AdmissionQueue queue;
  private final ReadRouting reads;
  private final WorkRunner runner;
  private final Confirmations confirmations = new Confirmations(this::endIfIdle);
  private final Map<String, ServerInUse> servers = new HashMap<>();
  private final Map<String, PendingRequest> tickets = new HashMap<>();
  private final List<Refusal> unroutable = new ArrayList<>();
  private Set<String> classNames = Set.of();
  private DatabaseGroup group;
  private HomeAction.@Nullable OpenWrites opening;
  private HomeAction.@Nullable OpenWrites writes;
  private @Nullable String movedTo;
  private Instant nextPurge = Instant.MIN;
  private String lastPrimary = "";
  private long ledgerTerm;
  private long nextTicket = 1;

  /** A read that no server may serve, found while the queue looked for one. */
  private record Refusal(PendingRequest ticket, NotRunReason reason, String detail) {}

  GroupWork(
      HomeEnvironment environment,
      EventExecutor executor,
      DatabaseGroup group,
      long seed,
      Consumer<HomeEvent> machine) {
    this.environment = environment;
    this.executor = executor;
    this.group = group;
    this.machine = machine;
    this.transactions =
        new InteractiveTransactions(
            environment.fleet().self().instance(), environment.limits().transactionIdleLimit());
    this.reads = new ReadRouting(seed);
    this.queue =
        new AdmissionQueue(
            new AdmissionSettings(
                environment.limits().waitingRequests(),
                AdmissionSettings.DEFAULT.maxWait(),
                AdmissionSettings.DEFAULT.maxRetryAfter(),
                AdmissionSettings.DEFAULT.initialServiceTime()),
            ConcurrencyPolicy.AIMD,
            classes(),
            this::eligible,
            new Random(seed));
    this.runner = new WorkRunner(executor, environment.clock(), transactions, this);
    refreshClasses();
  }

  CompletableFuture<Outcome> submit(GroupRequest request) {
    Instant now = now();
    PendingRequest ticket =
        new PendingRequest(request.requestId() + "/" + nextTicket++, request, now);
    Optional<String> objection = StatementGuard.firstObjection(request.statements());
    if (objection.isPresent()) {
      ticket.refuse(NotRunReason.NOT_ALLOWED, Duration.ZERO, objection.get());
    } else if (request.transaction() != null) {
      submitInTransaction(ticket);
    } else if (servers.isEmpty() || movedTo != null) {
      ticket.refuse(NotRunReason.NOT_HOME, Duration.ZERO, movedTo == null ? "" : movedTo);
    } else {
      offer(ticket, request.kind().needsPrimary());
    }
    return ticket.outcome();
  }

  void declare(DatabaseGroup declared) {
    group = declared;
    for (ServerInUse s : servers.values()) {
      declared.server(s.name()).ifPresent(reads::use);
    }
  }

  /** Takes in the request classes in force. */
  void refreshClasses() {
    Collection<RequestClass> changed = classes();
    classNames = changed.stream().map(RequestClass::name).collect(Collectors.toSet());
    perform(queue.updateClasses(changed, now()));
  }

  void openWrites(HomeAction.OpenWrites opened) {
    movedTo = null;
    confirmations.open(opened);
    opening = opened;
    if (writes != null || opened.term() == ledgerTerm) {
      writesOpen(opened);
    } else {
      createLedger(opened);
    }
  }

  void closeWrites(CloseReason reason) {
    writes = null;
    opening = null;
    reads.closed(reason);
    perform(queue.clearPrimary(now().plus(EXPECTED_FAILOVER), now()));
    if (reason == CloseReason.HANDING_OVER) {
      movedTo = "";
      refuseWaiting();
    }
    if (reason.endsPendingWrites()) {
      confirmations.end();
      endWorkOnLastPrimary();
    }
  }

  /** Writes were closed on suspicion before, so the primary is the one that was open last. */
  private void endWorkOnLastPrimary() {
    ServerInUse replaced = servers.get(lastPrimary);
    if (replaced != null) {
      doubtRunning(replaced, "the primary \"" + replaced.name() + "\" is being replaced");
    }
  }

  void logHeld(HomeAction.LogHeld held) {
    confirmations.held(held);
  }

  void sampled(HomeAction.ServerSampled sample) {
    boolean isPrimary = writes != null && writes.primary().equals(sample.server());
    reads.sampled(sample, isPrimary, now());
    perform(queue.tick(now()));
  }

  void useServer(String name, ServerRole role, String serverStart) {
    ServerInUse known = servers.get(name);
    if (known != null && !known.isDropped()) {
      known.setRole(role);
    } else {
      group
          .server(name)
          .ifPresent(
              s -> {
                ServerPool pool =
                    new ServerPool(environment.connector(), executor, group, s, serverStart);
                servers.put(name, new ServerInUse(s, pool, role));
                reads.use(s);
                pool.warmUp();
              });
    }
    ServerInUse used = servers.get(name);
    if (used != null) {
      perform(queue.setServerSlots(name, used.server().slots(), now()));
    }
  }

  void dropServer(String name) {
    ServerInUse server = servers.get(name);
    if (server == null) {
      machine.accept(new HomeEvent.WorkEnded(name));
      return;
    }
    server.drop();
    server.pool().closeWhenIdle();
    reads.drop(name);
    perform(queue.setServerSlots(name, 0, now()));
    endIfIdle(name);
  }

  /** Ends every request; called when the home lets go of the group. */
  void released(String toInstance) {
    movedTo = toInstance;
    refuseWaiting();
    for (ServerInUse s : List.copyOf(servers.values())) {
      doubtRunning(s, "the home of the group has moved");
      s.pool().closeNow();
      reads.drop(s.name());
      perform(queue.setServerSlots(s.name(), 0, now()));
    }
    servers.clear();
    reads.released();
    ledgerTerm = 0;
    confirmations.end();
  }

  void tick(Instant now) {
    confirmations.expire(now);
    if (now.isAfter(nextPurge)) {
      nextPurge = now.plus(PURGE_INTERVAL);
      purgeLedger(now);
    }
    perform(queue.tick(now));
    for (InteractiveTransactions.Open t : transactions.removeIdle(now)) {
      ServerInUse server = servers.get(t.server());
      if (server == null) {
        t.connection().close();
      } else {
        runner.rollBack(t, server, () -> endIfIdle(t.server()));
      }
    }
  }

  boolean isIdle() {
    return transactions.size() == 0
        && confirmations.isEmpty()
        && servers.values().stream().allMatch(s -> s.running().isEmpty());
  }

  @Override
  public void onEnded(
      PendingRequest ticket, ServerInUse server, Instant sentAt, @Nullable Execution execution) {
    Instant now = now();
    Duration serviceTime = Duration.between(sentAt, now);
    reads.answered(server.name(), serviceTime);
    if (execution == null) {
      reads.ended(ticket, LogPosition.ZERO);
    } else {
      finish(ticket, server, sentAt, execution);
    }
    if (tickets.remove(ticket.id()) != null) {
      perform(queue.releaseSlot(ticket.id(), serviceTime, serviceOutcome(execution), now));
    }
    endIfIdle(server.name());
  }

  private void submitInTransaction(PendingRequest ticket) {
    Optional<InteractiveTransactions.Open> found =
        transactions.find(ticket.request().transaction());
    ServerInUse server = servers.get(found.map(t -> t.server()).orElse(""));
    if (server == null) {
      ticket.refuse(
          NotRunReason.UNKNOWN_TRANSACTION, Duration.ZERO, "no such transaction is open here");
    } else if (server.isDropped()) {
      // A leaving server has no slots in the queue, but its open transactions may end.
      reads.dispatched(server.name(), ticket);
      ticket.setTerm(ledgerTerm);
      guardDeadline(ticket);
      runner.start(ticket, server);
    } else {
      offer(ticket, true);
    }
  }

  private void offer(PendingRequest ticket, boolean needsPrimary) {
    GroupRequest request = ticket.request();
    tickets.put(ticket.id(), ticket);
    guardDeadline(ticket);
    // An entry may know of a class that has not come into force here yet.
    String requestClass =
        classNames.contains(request.requestClass()) ? request.requestClass() : DEFAULT_CLASS.name();
    perform(
        queue.offer(
            new Ticket(ticket.id(), requestClass, needsPrimary, false, request.deadline()), now()));
  }

  private List<String> eligible(Ticket admitted, Instant now) {
    PendingRequest ticket = tickets.get(admitted.id());
    if (ticket == null) {
      return List.of();
    }
    if (ticket.isDone()) {
      // It was answered while it waited; any server lets it leave the queue.
      return List.copyOf(servers.keySet());
    }
    GroupRequest request = ticket.request();
    if (request.transaction() != null) {
      return transactions
          .find(request.transaction())
          .map(t -> List.of(t.server()))
          .orElse(List.of());
    }
    if (request.kind() != RequestKind.READ) {
      return writes == null ? List.of() : List.of(writes.primary());
    }
    RoutingDecision decision = reads.choose(request, ticket.arrival(), now);
    if (decision instanceof RoutingDecision.Serve serve) {
      return serve.servers();
    }
    if (decision instanceof RoutingDecision.Primary primary) {
      return List.of(primary.server());
    }
    if (decision instanceof RoutingDecision.Refuse refuse) {
      unroutable.add(new Refusal(ticket, refuse.reason(), refuse.detail()));
    }
    return List.of();
  }

  private void perform(List<AdmissionAction> actions) {
    for (AdmissionAction action : actions) {
      PendingRequest ticket = tickets.get(action.ticket().id());
      if (ticket == null) {
        continue;
      }
      if (action instanceof AdmissionAction.Dispatch dispatch) {
        dispatch(ticket, dispatch.server());
      } else if (action instanceof AdmissionAction.Refuse refuse) {
        tickets.remove(ticket.id());
        ticket.refuse(refuse.reason(), refuse.retryAfter(), detailOf(refuse.reason()));
      }
    }
    List<Refusal> refusals = List.copyOf(unroutable);
    unroutable.clear();
    refusals.forEach(r -> r.ticket().refuse(r.reason(), Retry.afterFor(r.reason()), r.detail()));
  }

  private String detailOf(NotRunReason reason) {
    return switch (reason) {
      case NO_PRIMARY -> "no primary of group \"" + group.name() + "\" accepts writes";
      case DEADLINE_TOO_CLOSE -> "no slot of group \"" + group.name() + "\" is free in time";
      default -> "the queue of group \"" + group.name() + "\" is " + queue.waiting() + " long";
    };
  }

  private void dispatch(PendingRequest ticket, String name) {
    ServerInUse server = servers.get(name);
    if (server == null || ticket.isDone()) {
      ticket.refuse(NotRunReason.NOT_HOME, Duration.ZERO, "");
      executor.execute(() -> freeUnused(ticket));
      return;
    }
    reads.dispatched(name, ticket);
    ticket.setTerm(writes == null ? ledgerTerm : writes.term());
    runner.start(ticket, server);
  }

  /** Gives back the slot of a ticket that has its answer already. */
  private void freeUnused(PendingRequest ticket) {
    if (tickets.remove(ticket.id()) != null) {
      perform(queue.releaseSlot(ticket.id(), Duration.ZERO, ServiceOutcome.ERROR, now()));
    }
  }

  private void finish(
      PendingRequest ticket, ServerInUse server, Instant sentAt, Execution execution) {
    GroupRequest request = ticket.request();
    if (!(execution instanceof Execution.Committed) && !(execution instanceof Execution.InDoubt)) {
      reads.ended(ticket, LogPosition.ZERO);
    }
    if (execution instanceof Execution.Refused r) {
      ticket.complete(new Outcome.Rejected(r.sqlState(), r.message(), r.statementIndex()));
    } else if (execution instanceof Execution.KeyReused) {
      ticket.complete(
          new Outcome.NotRun(
              NotRunReason.KEY_REUSED,
              Duration.ZERO,
              "idempotency key \"" + request.idempotencyKey() + "\""));
    } else if (execution instanceof Execution.InDoubt d) {
      reads.inDoubt(ticket, now());
      ticket.doubt(Retry.SOON, d.reason());
    } else if (execution instanceof Execution.Committed c) {
      committed(ticket, server, sentAt, c);
    }
  }

  private void committed(
      PendingRequest ticket, ServerInUse server, Instant sentAt, Execution.Committed c) {
    RequestKind kind = ticket.request().kind();
    if (kind == RequestKind.READ || kind == RequestKind.ROLLBACK) {
      boolean fromReplica = server.role() == ServerRole.REPLICA;
      ticket.complete(
          new Outcome.Completed(c.results(), null, false, server.name(), fromReplica, null));
      return;
    }
    LogPosition position = new LogPosition(ticket.term(), c.offset());
    reads.committed(ticket, position, sentAt);
    confirmations.await(ticket, server.name(), c, position);
    if (!confirmations.isEmpty()) {
      machine.accept(new HomeEvent.ObserveNow());
    }
  }

  private void writesOpen(HomeAction.OpenWrites opened) {
    if (opened.equals(opening)) {
      writes = opened;
      lastPrimary = opened.primary();
      reads.opened(opened);
      perform(queue.setPrimary(opened.primary(), now()));
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
        .thenCompose(r -> LedgerUpkeep.create(r, primary.pool()))
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

  private void purgeLedger(Instant now) {
    ServerInUse primary = writes == null ? null : servers.get(writes.primary());
    if (primary == null) {
      return;
    }
    Statement purge = RequestLedger.purge(now, environment.limits().ledgerRetention());
    ServerPool pool = primary.pool();
    pool.take().thenAccept(r -> LedgerUpkeep.purge(r, pool, purge));
  }

  private void doubtRunning(ServerInUse server, String why) {
    for (PendingRequest t : List.copyOf(server.running())) {
      if (!t.isDone() && t.wasSent()) {
        t.doubt(Retry.SOON, why);
        t.abandonConnection();
      }
    }
    for (InteractiveTransactions.Open t : transactions.removeAll(server.name())) {
      t.connection().close();
    }
  }

  private void endIfIdle(String name) {
    ServerInUse server = servers.get(name);
    if (server == null
        || !server.isDropped()
        || confirmations.waitsOn(name)
        || !server.running().isEmpty()
        || transactions.openOn(name) > 0) {
      return;
    }
    servers.remove(name);
    machine.accept(new HomeEvent.WorkEnded(name));
  }

  private void guardDeadline(PendingRequest ticket) {
    Duration left = Duration.between(now(), ticket.request().deadline());
    executor.schedule(() -> expire(ticket), Math.max(0, left.toMillis()), TimeUnit.MILLISECONDS);
  }

  private void expire(PendingRequest ticket) {
    if (ticket.isDone()) {
      return;
    }
    if (!ticket.wasSent()) {
      NotRunReason reason = NotRunReason.DEADLINE_TOO_CLOSE;
      ticket.refuse(reason, Retry.SOON, "the deadline passed while the request was waiting");
      return;
    }
    ticket.doubt(Retry.SOON, "the deadline passed while the request was running");
    // A connection that still has not answered by then is taken for silent.
    executor.schedule(ticket::abandonConnection, ABANDON_AFTER.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void refuseWaiting() {
    String hint = movedTo == null ? "" : movedTo;
    for (PendingRequest t : List.copyOf(tickets.values())) {
      if (!t.wasSent() && t.request().transaction() == null) {
        t.refuse(NotRunReason.NOT_HOME, Duration.ZERO, hint);
      }
    }
  }

  private static ServiceOutcome serviceOutcome(@Nullable Execution execution) {
    if (execution == null || execution instanceof Execution.InDoubt) {
      return ServiceOutcome.ERROR;
    }
    boolean overload =
        execution instanceof Execution.Refused r && r.sqlState().startsWith(INSUFFICIENT_RESOURCES);
    return overload ? ServiceOutcome.OVERLOAD : ServiceOutcome.OK;
  }

  private Collection<RequestClass> classes() {
    Map<String, RequestClass> all =
        new HashMap<>(environment.declarations().get().requestClasses());
    all.putIfAbsent(DEFAULT_CLASS.name(), DEFAULT_CLASS);
    return all.values();
  }

  private Instant now() {
    return environment.clock().instant();
  }
}
