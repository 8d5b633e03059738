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
 * Processes the requests of one group at its home: admission control, routing, running, and
 * acknowledging writes once a quorum confirms them.
 *
 * <p>Runs on the group's executor only.
 */
final class GroupRequestProcessor implements RequestRunner.Listener {
  /** The class of requests that name no class, or one that is not declared at this home. */
  private static final RequestClass DEFAULT_CLASS = new RequestClass("default", 1, 0, false, false);

  /** Time after the closing of writes within which the queue expects a primary again. */
  private static final Duration EXPECTED_FAILOVER_DURATION = Duration.ofSeconds(2);

  private static final Duration LEDGER_RETRY_DELAY = Duration.ofMillis(100);
  private static final Duration LEDGER_PURGE_INTERVAL = Duration.ofMinutes(10);

  /** Time from a request's deadline until its connection is closed if it still has not answered. */
  private static final Duration CONNECTION_CLOSE_DELAY = Duration.ofSeconds(2);

  /** The SQLSTATE class of a server that is out of a resource, such as memory or connections. */
  private static final String INSUFFICIENT_RESOURCES_CLASS = "53";

  private final HomeEnvironment environment;
  private final EventExecutor executor;
  private final Consumer<HomeEvent> eventSink;
  private final InteractiveTransactions transactions;
  private final AdmissionQueue queue;
  private final ReadRouting readRouting;
  private final RequestRunner runner;
  private final PendingConfirmations confirmations =
      new PendingConfirmations(this::finishDropIfIdle);
  private final Map<String, ServerInUse> servers = new HashMap<>();
  private final Map<String, PendingRequest> pendingRequests = new HashMap<>();
  private final List<Refusal> unroutableReads = new ArrayList<>();
  private Set<String> classNames = Set.of();
  private DatabaseGroup group;

  /** Set while writes are open or being opened; opening waits until the ledger table exists. */
  private HomeAction.@Nullable OpenWrites openingWrites;

  /** Set while writes are open. */
  private HomeAction.@Nullable OpenWrites currentWrites;

  /**
   * The instance that the group was handed to, empty if not known; null if it was not handed on.
   */
  private @Nullable String movedTo;

  private Instant nextLedgerPurge = Instant.MIN;

  /** The primary for which writes were opened last; empty if there was none. */
  private String lastWritePrimary = "";

  /** The term for which {@link #createLedger} last completed; 0 if none. */
  private long ledgerTerm;

  private long nextRequestNumber = 1;

  /**
   * A read that no server may serve. Recorded by {@link #eligibleServers}, which the queue calls
   * and which cannot refuse requests itself.
   */
  private record Refusal(PendingRequest pending, NotRunReason reason, String detail) {}

  GroupRequestProcessor(
      HomeEnvironment environment,
      EventExecutor executor,
      DatabaseGroup group,
      long seed,
      Consumer<HomeEvent> eventSink) {
    this.environment = environment;
    this.executor = executor;
    this.group = group;
    this.eventSink = eventSink;
    this.transactions =
        new InteractiveTransactions(
            environment.fleet().self().instance(), environment.limits().transactionIdleLimit());
    this.readRouting = new ReadRouting(seed);
    this.queue =
        new AdmissionQueue(
            new AdmissionSettings(
                environment.limits().waitingRequests(),
                AdmissionSettings.DEFAULT.maxWait(),
                AdmissionSettings.DEFAULT.maxRetryAfter(),
                AdmissionSettings.DEFAULT.initialServiceTime()),
            ConcurrencyPolicy.AIMD,
            requestClasses(),
            this::eligibleServers,
            new Random(seed));
    this.runner = new RequestRunner(executor, environment.clock(), transactions, this);
    refreshRequestClasses();
  }

  /** Checks a request, queues or runs it, and returns its outcome. */
  CompletableFuture<Outcome> submit(GroupRequest request) {
    Instant now = now();
    PendingRequest pending =
        new PendingRequest(request.requestId() + "/" + nextRequestNumber++, request, now);
    Optional<String> violation = StatementGuard.findFirstViolation(request.statements());
    if (violation.isPresent()) {
      pending.refuse(NotRunReason.NOT_ALLOWED, Duration.ZERO, violation.get());
    } else if (request.transaction() != null) {
      submitInTransaction(pending);
    } else if (servers.isEmpty() || movedTo != null) {
      pending.refuse(NotRunReason.NOT_HOME, Duration.ZERO, movedTo == null ? "" : movedTo);
    } else {
      offer(pending, request.kind().needsPrimary());
    }
    return pending.outcome();
  }

  /** Applies a changed declaration of the group. */
  void updateGroup(DatabaseGroup newGroup) {
    group = newGroup;
    for (ServerInUse s : servers.values()) {
      newGroup.server(s.name()).ifPresent(readRouting::addServer);
    }
  }

  /** Applies the request classes currently declared. */
  void refreshRequestClasses() {
    Collection<RequestClass> changed = requestClasses();
    classNames = changed.stream().map(RequestClass::name).collect(Collectors.toSet());
    perform(queue.updateClasses(changed, now()));
  }

  /** Opens writes on a primary, once the term's ledger table is created. */
  void openWrites(HomeAction.OpenWrites opened) {
    movedTo = null;
    confirmations.onWritesOpened(opened);
    openingWrites = opened;
    if (currentWrites != null || opened.term() == ledgerTerm) {
      completeOpening(opened);
    } else {
      createLedger(opened);
    }
  }

  /**
   * Closes writes. Waiting requests are refused if the group is being handed over; running ones end
   * with an unknown outcome if {@code reason} says so.
   */
  void closeWrites(CloseReason reason) {
    currentWrites = null;
    openingWrites = null;
    readRouting.onWritesClosed(reason);
    perform(queue.clearPrimary(now().plus(EXPECTED_FAILOVER_DURATION), now()));
    if (reason == CloseReason.HANDING_OVER) {
      movedTo = "";
      refuseWaitingRequests();
    }
    if (reason.endsPendingWrites()) {
      confirmations.endAll();
      endRequestsOnLastWritePrimary();
    }
  }

  /**
   * Ends the requests on the primary for which writes were open last. The current primary is not
   * set any more: writes were closed when the primary was suspected.
   */
  private void endRequestsOnLastWritePrimary() {
    ServerInUse replaced = servers.get(lastWritePrimary);
    if (replaced != null) {
      endRunningAsUnknown(replaced, "the primary \"" + replaced.name() + "\" is being replaced");
    }
  }

  /** Notes that a server holds the log up to an offset, which may confirm pending writes. */
  void onLogHeld(HomeAction.LogHeld held) {
    confirmations.onLogHeld(held);
  }

  void onServerSampled(HomeAction.ServerSampled sample) {
    boolean isPrimary = currentWrites != null && currentWrites.primary().equals(sample.server());
    readRouting.onServerSampled(sample, isPrimary, now());
    perform(queue.tick(now()));
  }

  /**
   * Starts to use a server, or sets the role of one in use.
   *
   * @param serverStart the start time of the server's process; the pool rejects any other process
   */
  void useServer(String name, ServerRole role, String serverStart) {
    ServerInUse known = servers.get(name);
    if (known != null && !known.isDropped()) {
      known.setRole(role);
    } else {
      group
          .server(name)
          .ifPresent(
              s -> {
                ServerConnectionPool pool =
                    new ServerConnectionPool(
                        environment.connector(), executor, group, s, serverStart);
                servers.put(name, new ServerInUse(s, pool, role));
                readRouting.addServer(s);
                pool.openAhead();
              });
    }
    ServerInUse used = servers.get(name);
    if (used != null) {
      perform(queue.setServerSlots(name, used.server().slots(), now()));
    }
  }

  /** Stops using a server; emits {@code WorkEnded} once nothing runs on it any more. */
  void dropServer(String name) {
    ServerInUse server = servers.get(name);
    if (server == null) {
      eventSink.accept(new HomeEvent.WorkEnded(name));
      return;
    }
    server.markDropped();
    server.pool().closeWhenIdle();
    readRouting.removeServer(name);
    perform(queue.setServerSlots(name, 0, now()));
    finishDropIfIdle(name);
  }

  /**
   * Ends every request; called when this home releases the group.
   *
   * @param toInstance the instance that takes over; empty if not known
   */
  void endAll(String toInstance) {
    movedTo = toInstance;
    refuseWaitingRequests();
    for (ServerInUse s : List.copyOf(servers.values())) {
      endRunningAsUnknown(s, "the home of the group has moved");
      s.pool().closeNow();
      readRouting.removeServer(s.name());
      perform(queue.setServerSlots(s.name(), 0, now()));
    }
    servers.clear();
    readRouting.onGroupReleased();
    ledgerTerm = 0;
    confirmations.endAll();
  }

  void tick(Instant now) {
    confirmations.expire(now);
    if (now.isAfter(nextLedgerPurge)) {
      nextLedgerPurge = now.plus(LEDGER_PURGE_INTERVAL);
      purgeLedger(now);
    }
    perform(queue.tick(now));
    for (InteractiveTransactions.OpenTransaction t : transactions.removeIdle(now)) {
      ServerInUse server = servers.get(t.server());
      if (server == null) {
        t.connection().close();
      } else {
        runner.rollBack(t, server, () -> finishDropIfIdle(t.server()));
      }
    }
  }

  /** Returns whether no request runs, no transaction is open and no write awaits confirmation. */
  boolean isIdle() {
    return transactions.size() == 0
        && confirmations.isEmpty()
        && servers.values().stream().allMatch(s -> s.running().isEmpty());
  }

  @Override
  public void onEnded(
      PendingRequest pending,
      ServerInUse server,
      Instant sentAt,
      @Nullable ExecutionResult execution) {
    Instant now = now();
    Duration serviceTime = Duration.between(sentAt, now);
    readRouting.onAnswered(server.name(), serviceTime);
    if (execution == null) {
      readRouting.onEnded(pending, LogPosition.ZERO);
    } else {
      complete(pending, server, sentAt, execution);
    }
    if (pendingRequests.remove(pending.id()) != null) {
      perform(queue.releaseSlot(pending.id(), serviceTime, serviceOutcome(execution), now));
    }
    finishDropIfIdle(server.name());
  }

  private void submitInTransaction(PendingRequest pending) {
    Optional<InteractiveTransactions.OpenTransaction> found =
        transactions.find(pending.request().transaction());
    ServerInUse server = servers.get(found.map(t -> t.server()).orElse(""));
    if (server == null) {
      pending.refuse(
          NotRunReason.UNKNOWN_TRANSACTION, Duration.ZERO, "no such transaction is open here");
    } else if (server.isDropped()) {
      // A dropped server has no slots in the queue, but its open transactions may continue.
      readRouting.onDispatched(server.name(), pending);
      pending.setTerm(ledgerTerm);
      scheduleExpiry(pending);
      runner.start(pending, server);
    } else {
      offer(pending, true);
    }
  }

  private void offer(PendingRequest pending, boolean needsPrimary) {
    GroupRequest request = pending.request();
    pendingRequests.put(pending.id(), pending);
    scheduleExpiry(pending);
    // The entry may have a newer declaration of classes than this home.
    String requestClass =
        classNames.contains(request.requestClass()) ? request.requestClass() : DEFAULT_CLASS.name();
    perform(
        queue.offer(
            new Ticket(pending.id(), requestClass, needsPrimary, false, request.deadline()),
            now()));
  }

  /** Returns the servers that a queued request may run on now; empty if there is none. */
  private List<String> eligibleServers(Ticket admitted, Instant now) {
    PendingRequest pending = pendingRequests.get(admitted.id());
    if (pending == null) {
      return List.of();
    }
    if (pending.isDone()) {
      // Already answered while it waited: dispatching it to any server removes it from the queue.
      return List.copyOf(servers.keySet());
    }
    GroupRequest request = pending.request();
    if (request.transaction() != null) {
      return transactions
          .find(request.transaction())
          .map(t -> List.of(t.server()))
          .orElse(List.of());
    }
    if (request.kind() != RequestKind.READ) {
      return currentWrites == null ? List.of() : List.of(currentWrites.primary());
    }
    RoutingDecision decision = readRouting.chooseServers(request, pending.arrival(), now);
    if (decision instanceof RoutingDecision.Serve serve) {
      return serve.servers();
    }
    if (decision instanceof RoutingDecision.Primary primary) {
      return List.of(primary.server());
    }
    if (decision instanceof RoutingDecision.Refuse refuse) {
      unroutableReads.add(new Refusal(pending, refuse.reason(), refuse.detail()));
    }
    return List.of();
  }

  private void perform(List<AdmissionAction> actions) {
    for (AdmissionAction action : actions) {
      PendingRequest pending = pendingRequests.get(action.ticket().id());
      if (pending == null) {
        continue;
      }
      if (action instanceof AdmissionAction.Dispatch dispatch) {
        dispatch(pending, dispatch.server());
      } else if (action instanceof AdmissionAction.Refuse refuse) {
        pendingRequests.remove(pending.id());
        pending.refuse(refuse.reason(), refuse.retryAfter(), refusalDetail(refuse.reason()));
      }
    }
    List<Refusal> refusals = List.copyOf(unroutableReads);
    unroutableReads.clear();
    refusals.forEach(
        r -> r.pending().refuse(r.reason(), RetryDelays.forReason(r.reason()), r.detail()));
  }

  private String refusalDetail(NotRunReason reason) {
    return switch (reason) {
      case NO_PRIMARY -> "no primary of group \"" + group.name() + "\" accepts writes";
      case DEADLINE_TOO_CLOSE -> "no slot of group \"" + group.name() + "\" is free in time";
      default -> "the queue of group \"" + group.name() + "\" is " + queue.waiting() + " long";
    };
  }

  private void dispatch(PendingRequest pending, String name) {
    ServerInUse server = servers.get(name);
    if (server == null || pending.isDone()) {
      pending.refuse(NotRunReason.NOT_HOME, Duration.ZERO, "");
      // Freed later, because perform() is still going through the actions of the queue.
      executor.execute(() -> freeUnusedSlot(pending));
      return;
    }
    readRouting.onDispatched(name, pending);
    pending.setTerm(currentWrites == null ? ledgerTerm : currentWrites.term());
    runner.start(pending, server);
  }

  /** Frees the slot of a request that was dispatched but not run. */
  private void freeUnusedSlot(PendingRequest pending) {
    if (pendingRequests.remove(pending.id()) != null) {
      perform(queue.releaseSlot(pending.id(), Duration.ZERO, ServiceOutcome.ERROR, now()));
    }
  }

  private void complete(
      PendingRequest pending, ServerInUse server, Instant sentAt, ExecutionResult execution) {
    GroupRequest request = pending.request();
    if (!(execution instanceof ExecutionResult.Committed)
        && !(execution instanceof ExecutionResult.InDoubt)) {
      readRouting.onEnded(pending, LogPosition.ZERO);
    }
    if (execution instanceof ExecutionResult.Refused r) {
      pending.complete(new Outcome.Rejected(r.sqlState(), r.message(), r.statementIndex()));
    } else if (execution instanceof ExecutionResult.KeyReused) {
      pending.complete(
          new Outcome.NotRun(
              NotRunReason.KEY_REUSED,
              Duration.ZERO,
              "idempotency key \"" + request.idempotencyKey() + "\""));
    } else if (execution instanceof ExecutionResult.InDoubt d) {
      readRouting.onInDoubt(pending, now());
      pending.completeUnknown(RetryDelays.SOON, d.reason());
    } else if (execution instanceof ExecutionResult.Committed c) {
      onCommitted(pending, server, sentAt, c);
    }
  }

  private void onCommitted(
      PendingRequest pending, ServerInUse server, Instant sentAt, ExecutionResult.Committed c) {
    RequestKind kind = pending.request().kind();
    if (kind == RequestKind.READ || kind == RequestKind.ROLLBACK) {
      boolean fromReplica = server.role() == ServerRole.REPLICA;
      pending.complete(
          new Outcome.Completed(c.results(), null, false, server.name(), fromReplica, null));
      return;
    }
    LogPosition position = new LogPosition(pending.term(), c.offset());
    readRouting.onCommitted(pending, position, sentAt);
    confirmations.add(pending, server.name(), c, position);
    if (!confirmations.isEmpty()) {
      eventSink.accept(new HomeEvent.ObserveNow());
    }
  }

  private void completeOpening(HomeAction.OpenWrites opened) {
    if (opened.equals(openingWrites)) {
      currentWrites = opened;
      lastWritePrimary = opened.primary();
      readRouting.onWritesOpened(opened);
      perform(queue.setPrimary(opened.primary(), now()));
    }
  }

  /** Creates the ledger table, which must exist before the first write of a term. */
  private void createLedger(HomeAction.OpenWrites opened) {
    ServerInUse primary = servers.get(opened.primary());
    if (primary == null || !opened.equals(openingWrites)) {
      return;
    }
    primary
        .pool()
        .acquire()
        .thenCompose(r -> LedgerMaintenance.create(r, primary.pool()))
        .thenAcceptAsync(
            created -> {
              if (created) {
                ledgerTerm = opened.term();
                completeOpening(opened);
              } else {
                executor.schedule(
                    () -> createLedger(opened),
                    LEDGER_RETRY_DELAY.toMillis(),
                    TimeUnit.MILLISECONDS);
              }
            },
            executor);
  }

  private void purgeLedger(Instant now) {
    ServerInUse primary = currentWrites == null ? null : servers.get(currentWrites.primary());
    if (primary == null) {
      return;
    }
    Statement purge = RequestLedger.purge(now, environment.limits().ledgerRetention());
    ServerConnectionPool pool = primary.pool();
    pool.acquire().thenAccept(r -> LedgerMaintenance.purge(r, pool, purge));
  }

  /**
   * Ends all requests that were sent to a server, with an unknown outcome, and closes its open
   * transactions.
   */
  private void endRunningAsUnknown(ServerInUse server, String why) {
    for (PendingRequest pending : List.copyOf(server.running())) {
      if (!pending.isDone() && pending.wasSent()) {
        pending.completeUnknown(RetryDelays.SOON, why);
        pending.closeConnectionIfRunning();
      }
    }
    for (InteractiveTransactions.OpenTransaction t : transactions.removeAllOn(server.name())) {
      t.connection().close();
    }
  }

  /** Removes a dropped server, and emits {@code WorkEnded}, once nothing runs on it any more. */
  private void finishDropIfIdle(String name) {
    ServerInUse server = servers.get(name);
    if (server == null
        || !server.isDropped()
        || confirmations.hasWaitingOn(name)
        || !server.running().isEmpty()
        || transactions.countOn(name) > 0) {
      return;
    }
    servers.remove(name);
    eventSink.accept(new HomeEvent.WorkEnded(name));
  }

  /** Schedules the request to end at its deadline. */
  private void scheduleExpiry(PendingRequest pending) {
    Duration left = Duration.between(now(), pending.request().deadline());
    executor.schedule(() -> expire(pending), Math.max(0, left.toMillis()), TimeUnit.MILLISECONDS);
  }

  private void expire(PendingRequest pending) {
    if (pending.isDone()) {
      return;
    }
    if (!pending.wasSent()) {
      NotRunReason reason = NotRunReason.DEADLINE_TOO_CLOSE;
      pending.refuse(reason, RetryDelays.SOON, "the deadline passed while the request was waiting");
      return;
    }
    pending.completeUnknown(RetryDelays.SOON, "the deadline passed while the request was running");
    // A connection that has not answered by then is assumed to have stopped responding.
    executor.schedule(
        pending::closeConnectionIfRunning,
        CONNECTION_CLOSE_DELAY.toMillis(),
        TimeUnit.MILLISECONDS);
  }

  private void refuseWaitingRequests() {
    String hint = movedTo == null ? "" : movedTo;
    for (PendingRequest pending : List.copyOf(pendingRequests.values())) {
      if (!pending.wasSent() && pending.request().transaction() == null) {
        pending.refuse(NotRunReason.NOT_HOME, Duration.ZERO, hint);
      }
    }
  }

  private static ServiceOutcome serviceOutcome(@Nullable ExecutionResult execution) {
    if (execution == null || execution instanceof ExecutionResult.InDoubt) {
      return ServiceOutcome.ERROR;
    }
    boolean overload =
        execution instanceof ExecutionResult.Refused r
            && r.sqlState().startsWith(INSUFFICIENT_RESOURCES_CLASS);
    return overload ? ServiceOutcome.OVERLOAD : ServiceOutcome.OK;
  }

  private Collection<RequestClass> requestClasses() {
    Map<String, RequestClass> all =
        new HashMap<>(environment.declarations().get().requestClasses());
    all.putIfAbsent(DEFAULT_CLASS.name(), DEFAULT_CLASS);
    return all.values();
  }

  private Instant now() {
    return environment.clock().instant();
  }
}
