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
 * The home of one database group on this instance, or a candidate for it: wires the group's pure
 * cores to its servers, the platform and the other instances.
 *
 * <p>Public methods may be called from any thread; everything runs on the group's executor.
 */
final class GroupHome {
  private static final Duration HAND_OVER_TIMEOUT = Duration.ofSeconds(1);

  private final String name;
  private final HomeEnvironment environment;
  private final EventExecutor executor;
  private final HomeStateMachine machine;
  private final ControlDriver control;
  private final RecordAdapter record;
  private final EvidenceCollector evidence;
  private final GroupWork work;
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
    this.control =
        new ControlDriver(
            environment.connector(),
            executor,
            environment.timings(),
            environment.processId(),
            group,
            this::handle);
    this.record = new RecordAdapter(environment.store(), executor, name, this::handle);
    this.evidence = new EvidenceCollector(environment, executor, name, this::handle);
    this.work = new GroupWork(environment, executor, group, seed, this::handle);
    long tick = FailoverTimings.TICK_INTERVAL.toMillis();
    this.ticks = executor.scheduleAtFixedRate(this::tick, tick, tick, TimeUnit.MILLISECONDS);
  }

  CompletableFuture<Outcome> submit(GroupRequest request) {
    CompletableFuture<Outcome> outcome = new CompletableFuture<>();
    executor.execute(() -> work.submit(request).thenAccept(outcome::complete));
    return outcome;
  }

  /** Takes in the request classes in force. */
  void refreshClasses() {
    executor.execute(work::refreshClasses);
  }

  /** Tells the home of an event from outside. */
  void tell(HomeEvent event) {
    executor.execute(
        () -> {
          if (event instanceof HomeEvent.GroupChanged changed) {
            control.declare(changed.group());
            work.declare(changed.group());
          }
          handle(event);
        });
  }

  /** Hands the group over; completes when nothing of it is left here. */
  CompletableFuture<Void> drain() {
    executor.execute(
        () -> {
          draining = true;
          handle(new HomeEvent.Drain());
        });
    return drained;
  }

  /** Lets go of the group at once and takes it no more. */
  void stop() {
    ticks.cancel(false);
    executor.execute(
        () -> {
          stopped = true;
          control.closeAll();
          work.released("");
        });
  }

  private void tick() {
    work.tick(environment.clock().instant());
    handle(new HomeEvent.Tick());
    if (draining && work.isIdle() && !control.hasConnections()) {
      ticks.cancel(false);
      drained.complete(null);
    }
  }

  /** Events that actions cause at once wait until the actions before them are done. */
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
    if (action instanceof HomeAction.ConnectionAction on) {
      control.run(on);
    } else if (action instanceof HomeAction.AskEvidence ask) {
      evidence.ask(ask.server(), ask.round());
    } else if (action instanceof HomeAction.ReadRecord) {
      record.read();
    } else if (action instanceof HomeAction.SwapRecord swap) {
      record.swap(swap.expectedModRevision(), swap.record());
    } else if (action instanceof HomeAction.OpenWrites open) {
      Logger.info("group {}: writes open on {} in term {}", name, open.primary(), open.term());
      work.openWrites(open);
    } else if (action instanceof HomeAction.CloseWrites close) {
      Logger.info("group {}: writes closed: {}", name, close.reason());
      if (close.reason() == CloseReason.PRIMARY_SUSPECTED) {
        environment.writesStopped().accept(name);
      }
      work.closeWrites(close.reason());
    } else if (action instanceof HomeAction.UseServer use) {
      work.useServer(use.server(), use.role(), control.serverStart(use.server()));
    } else if (action instanceof HomeAction.DropServer drop) {
      Logger.info("group {}: server {} dropped: {}", name, drop.server(), drop.reason());
      work.dropServer(drop.server());
    } else if (action instanceof HomeAction.LogHeld held) {
      work.logHeld(held);
    } else if (action instanceof HomeAction.ServerSampled sample) {
      work.sampled(sample);
    } else if (action instanceof HomeAction.HandOver hand) {
      handOver(hand.toInstance());
    } else if (action instanceof HomeAction.Report report) {
      log(report.report(), report.detail());
    } else if (action instanceof HomeAction.InvariantBroken broken) {
      environment.metrics().counter("invariants.broken").inc();
      Logger.error("group {}: invariant {} broken: {}", name, broken.name(), broken.evidence());
    }
  }

  private void log(HomeReport report, String detail) {
    if (report.isWarning()) {
      Logger.warn("group {}: {}: {}", name, report, detail);
    } else {
      Logger.info("group {}: {}: {}", name, report, detail);
    }
  }

  private void handOver(String toInstance) {
    work.released(toInstance);
    for (PeerAddress peer : environment.fleet().others()) {
      if (peer.instance().equals(toInstance)) {
        environment
            .peers()
            .ask(
                peer,
                RelayFrame.newBuilder().setTakeHome(TakeHomeMessage.newBuilder().setGroup(name)),
                HAND_OVER_TIMEOUT)
            .thenAccept(r -> Logger.info("group {}: handed over to {}: {}", name, peer, r));
      }
    }
  }
}
