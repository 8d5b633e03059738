package org.chicorylane.internal.home;

import io.netty.util.concurrent.EventExecutor;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.chicorylane.internal.declaration.DatabaseGroup;
import org.chicorylane.internal.failover.CloseReason;
import org.chicorylane.internal.failover.FailoverTimings;
import org.chicorylane.internal.failover.HomeAction;
import org.chicorylane.internal.failover.HomeEvent;
import org.chicorylane.internal.failover.HomeReport;
import org.chicorylane.internal.failover.HomeStateMachine;
import org.chicorylane.internal.outcome.Outcome;
import org.chicorylane.internal.relay.GroupRequest;
import org.chicorylane.internal.relay.PeerAddress;
import org.chicorylane.internal.relay.generated.RelayFrame;
import org.chicorylane.internal.relay.generated.TakeHomeMessage;
import org.tinylog.Logger;

/**
 * The home of one database group on this instance, or a candidate for it.
 *
 * <p>Connects the group's {@link HomeStateMachine}, a state machine without I/O, to the backend
 * servers, the key-value service and the other instances: feeds events to the machine and performs
 * the actions that it returns.
 *
 * <p>Non-private methods may be called from any thread; all work runs on the group's executor.
 */
final class GroupHome {
  private static final Duration TAKE_HOME_TIMEOUT = Duration.ofSeconds(1);

  private final String name;
  private final HomeEnvironment environment;
  private final EventExecutor executor;
  private final HomeStateMachine machine;
  private final ControlDriver controlDriver;
  private final RecordAdapter record;
  private final EvidenceCollector evidenceCollector;
  private final GroupRequestProcessor requests;
  private final Deque<HomeEvent> events = new ArrayDeque<>();
  private final ScheduledFuture<?> ticks;
  private final CompletableFuture<Void> drained = new CompletableFuture<>();
  private boolean handling;
  private boolean draining;
  private boolean stopped;

  GroupHome(HomeEnvironment environment, DatabaseGroup group, EventExecutor executor, long seed) {
    this.name = group.name();
    this.environment = environment;
    this.executor = executor;
    this.machine =
        new HomeStateMachine(
            environment.fleet().self().instance(), group, environment.timings(), seed);
    this.controlDriver =
        new ControlDriver(
            environment.connector(),
            executor,
            environment.timings(),
            environment.processId(),
            group,
            this::handle);
    this.record = new RecordAdapter(environment.store(), executor, name, this::handle);
    this.evidenceCollector = new EvidenceCollector(environment, executor, name, this::handle);
    this.requests = new GroupRequestProcessor(environment, executor, group, seed, this::handle);
    long tick = FailoverTimings.TICK_INTERVAL.toMillis();
    this.ticks = executor.scheduleAtFixedRate(this::tick, tick, tick, TimeUnit.MILLISECONDS);
  }

  /** Runs a request of the group and returns its outcome. */
  CompletableFuture<Outcome> submit(GroupRequest request) {
    CompletableFuture<Outcome> outcome = new CompletableFuture<>();
    executor.execute(() -> requests.submit(request).thenAccept(outcome::complete));
    return outcome;
  }

  /** Applies the request classes currently declared. */
  void refreshRequestClasses() {
    executor.execute(requests::refreshRequestClasses);
  }

  /** Passes on an event that comes from outside this home. */
  void post(HomeEvent event) {
    executor.execute(
        () -> {
          if (event instanceof HomeEvent.GroupChanged changed) {
            controlDriver.updateGroup(changed.group());
            requests.updateGroup(changed.group());
          }
          handle(event);
        });
  }

  /**
   * Hands the group over. Completes when no request or transaction of the group is left here and
   * its control connections are closed.
   */
  CompletableFuture<Void> drain() {
    executor.execute(
        () -> {
          draining = true;
          handle(new HomeEvent.Drain());
        });
    return drained;
  }

  /** Releases the group immediately; this home does not take it again. */
  void stop() {
    ticks.cancel(false);
    executor.execute(
        () -> {
          stopped = true;
          controlDriver.closeAll();
          requests.endAll("");
        });
  }

  private void tick() {
    requests.tick(environment.clock().instant());
    handle(new HomeEvent.Tick());
    if (draining && requests.isIdle() && !controlDriver.hasConnections()) {
      ticks.cancel(false);
      drained.complete(null);
    }
  }

  /**
   * Feeds an event to the machine. An event that is raised while actions are performed is queued
   * until those actions are done.
   */
  private void handle(HomeEvent event) {
    if (stopped) {
      return;
    }
    events.add(event);
    if (handling) {
      return;
    }
    handling = true;
    try {
      for (HomeEvent next = events.poll(); next != null; next = events.poll()) {
        List<HomeAction> actions = machine.handle(next, environment.clock().instant());
        actions.forEach(this::perform);
      }
    } finally {
      handling = false;
    }
  }

  private void perform(HomeAction action) {
    if (action instanceof HomeAction.ConnectionAction connectionAction) {
      controlDriver.run(connectionAction);
    } else if (action instanceof HomeAction.AskEvidence ask) {
      evidenceCollector.ask(ask.server(), ask.round());
    } else if (action instanceof HomeAction.ReadRecord) {
      record.read();
    } else if (action instanceof HomeAction.SwapRecord swap) {
      record.swap(swap.expectedModRevision(), swap.record());
    } else if (action instanceof HomeAction.OpenWrites open) {
      Logger.info("group {}: writes open on {} in term {}", name, open.primary(), open.term());
      requests.openWrites(open);
    } else if (action instanceof HomeAction.CloseWrites close) {
      Logger.info("group {}: writes closed: {}", name, close.reason());
      if (close.reason() == CloseReason.PRIMARY_SUSPECTED) {
        environment.writesStopped().accept(name);
      }
      requests.closeWrites(close.reason());
    } else if (action instanceof HomeAction.UseServer use) {
      requests.useServer(use.server(), use.role(), controlDriver.serverStart(use.server()));
    } else if (action instanceof HomeAction.DropServer drop) {
      Logger.info("group {}: server {} dropped: {}", name, drop.server(), drop.reason());
      requests.dropServer(drop.server());
    } else if (action instanceof HomeAction.LogHeld held) {
      requests.onLogHeld(held);
    } else if (action instanceof HomeAction.ServerSampled sample) {
      requests.onServerSampled(sample);
    } else if (action instanceof HomeAction.HandOver handOver) {
      handOver(handOver.toInstance());
    } else if (action instanceof HomeAction.Report report) {
      logReport(report.report(), report.detail());
    } else if (action instanceof HomeAction.InvariantBroken broken) {
      environment.metrics().counter("invariants.broken").inc();
      Logger.error("group {}: invariant {} broken: {}", name, broken.name(), broken.evidence());
    }
  }

  private void logReport(HomeReport report, String detail) {
    if (report.isWarning()) {
      Logger.warn("group {}: {}: {}", name, report, detail);
    } else {
      Logger.info("group {}: {}: {}", name, report, detail);
    }
  }

  private void handOver(String toInstance) {
    requests.endAll(toInstance);
    for (PeerAddress peer : environment.fleet().others()) {
      if (peer.instance().equals(toInstance)) {
        environment
            .peers()
            .ask(
                peer,
                RelayFrame.newBuilder().setTakeHome(TakeHomeMessage.newBuilder().setGroup(name)),
                TAKE_HOME_TIMEOUT)
            .thenAccept(r -> Logger.info("group {}: handed over to {}: {}", name, peer, r));
      }
    }
  }
}
