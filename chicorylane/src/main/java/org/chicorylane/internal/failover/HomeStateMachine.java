package org.chicorylane.internal.failover;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.TreeSet;
import org.chicorylane.internal.declaration.DatabaseGroup;
import org.chicorylane.internal.position.LogPosition;
import org.jspecify.annotations.Nullable;

/**
 * State machine that runs ownership and failover of one database group on one instance: whether the
 * instance is the group's home, which servers it uses, whether writes are open, and when the
 * primary is replaced.
 *
 * <p>Ownership is a lock per backend server, held by the session of a control connection. A primary
 * is replaced by sealing a majority of the voters, writing the new primary and term to the group's
 * record by compare-and-swap, and promoting the server with the most log.
 *
 * <pre>{@code
 * HomeStateMachine machine =
 *     new HomeStateMachine(instance, group, FailoverTimings.DEFAULTS, random.nextLong());
 * for (HomeAction action : machine.handle(new HomeEvent.Tick(), clock.instant())) {
 *   adapters.run(action); // answers come back as further events
 * }
 * }</pre>
 *
 * <p>After each event the machine compares the current state with the desired state and returns the
 * actions that are missing, so lost and repeated events are harmless. The seed must differ between
 * processes, because the ids by which a process recognizes its own records are derived from it.
 *
 * <p>Not thread-safe: call it from one thread at a time, with events in the order in which they
 * happened and with {@code now} never going back. A home that was paused keeps its locks only as
 * long as its control connections stay open; the locks do not depend on any clock.
 */
public final class HomeStateMachine {
  private final HomeContext context;
  private final GroupRecordClient recordClient;
  private final GroupView view;
  private final ReplicatedOffsets replicatedOffsets = new ReplicatedOffsets();
  private final FailureDetector failureDetector;
  private final Promotion promotion;
  private final ServerUsage usage;
  private final Ownership ownership;
  private final Switchover switchover;
  private final ReplicaRepair repair;
  private final RecordMaintenance maintenance;
  private final WriteGate writeGate;
  private boolean wasAcquiring;
  private @Nullable Instant lastEventAt;

  /**
   * Creates a machine that owns no server yet.
   *
   * @param instance this instance's name, as in {@link HomeEvent.CandidatesChanged}
   * @param group the declared group
   * @param timings the timings
   * @param seed randomizes waits and record ids; must be different in every process
   */
  public HomeStateMachine(
      String instance, DatabaseGroup group, FailoverTimings timings, long seed) {
    context = new HomeContext(instance, group, timings, seed);
    recordClient = new GroupRecordClient(context);
    view = new GroupView(context, recordClient);
    failureDetector = new FailureDetector(context, view);
    promotion = new Promotion(context, recordClient, view, replicatedOffsets);
    usage = new ServerUsage(context, view);
    ownership = new Ownership(context, usage);
    switchover = new Switchover(context, recordClient, view, usage);
    repair = new ReplicaRepair(context, view);
    maintenance = new RecordMaintenance(context, recordClient, view, repair);
    writeGate = new WriteGate(context, recordClient, view);
  }

  /**
   * Handles an event.
   *
   * @param event what happened
   * @param now the current time, not before that of the previous event
   * @return the actions to perform, in order
   */
  public List<HomeAction> handle(HomeEvent event, Instant now) {
    context.setNow(now);
    restartTimeoutsAfterOwnPause(now);
    apply(event);
    step();
    return context.removeActions();
  }

  /** Returns whether writes are open. */
  public boolean isServingWrites() {
    return writeGate.isOpen();
  }

  /**
   * Restarts the answer timeouts if this process was paused, so that servers are not suspected
   * because of answers that it could not process meanwhile.
   */
  private void restartTimeoutsAfterOwnPause(Instant now) {
    Instant last = lastEventAt;
    lastEventAt = now;
    if (last != null
        && Duration.between(last, now).compareTo(context.timings().selfPauseThreshold()) > 0) {
      context.controls().forEach(ServerControl::restartAnswerTimeouts);
    }
  }

  private void apply(HomeEvent event) {
    if (event instanceof HomeEvent.ConnectionEvent connectionEvent) {
      applyConnectionEvent(connectionEvent);
    } else if (event instanceof HomeEvent.CandidatesChanged candidates) {
      ownership.onCandidatesChanged(candidates);
    } else if (event instanceof HomeEvent.TakeoverRequested) {
      ownership.onTakeoverRequested();
    } else if (event instanceof HomeEvent.Drain) {
      ownership.onDrain();
    } else if (event instanceof HomeEvent.GroupChanged changed) {
      context.declare(changed.group());
    } else if (event instanceof HomeEvent.WorkEnded ended) {
      usage.onWorkEnded(ended.server());
    } else if (event instanceof HomeEvent.ObserveNow) {
      context.controls().forEach(ServerControl::observeSoon);
    } else if (event instanceof HomeEvent.EvidenceAnswered answered) {
      failureDetector.onEvidenceAnswered(answered);
    } else if (event instanceof HomeEvent.EvidenceEnded ended) {
      failureDetector.onEvidenceEnded(ended);
    } else {
      applyRecordEvent(event);
    }
  }

  private void applyRecordEvent(HomeEvent event) {
    if (event instanceof HomeEvent.RecordRead read) {
      recordClient.onRead(read.stored());
    } else if (event instanceof HomeEvent.RecordUnavailable failed) {
      recordClient.onUnavailable(failed.reason());
    } else if (event instanceof HomeEvent.RecordSwapped swapped) {
      recordClient.onSwapped(swapped.result());
    }
  }

  private void applyConnectionEvent(HomeEvent.ConnectionEvent event) {
    ServerControl control = context.control(event.connection().server());
    if (control == null || !control.isOpen() || !control.connection().equals(event.connection())) {
      return;
    }
    boolean wasReady = control.isReady();
    Instant observationSentAt = control.handle(event);
    if (!wasReady && control.isReady()) {
      recordClient.requestRead();
    }
    if (event instanceof HomeEvent.Promoted promoted) {
      promotion.onPromoted(promoted);
    }
    ServerObservation seen = control.observation();
    if (observationSentAt != null && seen != null) {
      onObserved(control, seen, observationSentAt);
    }
  }

  /** Passes on what a new observation of a server says about its log. */
  private void onObserved(ServerControl control, ServerObservation seen, Instant sentAt) {
    GroupRecord record = view.record();
    if (record == null) {
      return;
    }
    if (seen.timeline() > record.term()) {
      recordClient.requestRead();
    }
    replicatedOffsets.beginTerm(record.term());
    if (view.isOnCurrentTerm(control) && !promotion.isActive()) {
      replicatedOffsets.advance(control.name(), record.term(), seen.offset());
      context.emit(new HomeAction.LogHeld(control.name(), record.term(), seen.offset()));
    }
    boolean isPrimary = control.name().equals(record.primary());
    if (isPrimary
        ? view.isOnCurrentTerm(control)
        : seen.inRecovery() && view.hasConsistentLog(seen)) {
      LogPosition replayed =
          GroupView.endPosition(record.history(), seen.timeline(), seen.replayedOffset());
      context.emit(new HomeAction.ServerSampled(control.name(), replayed, seen, sentAt));
    }
  }

  private void step() {
    if (ownership.step(view.majority())) {
      promotion.abandon();
      failureDetector.reset();
    }
    boolean mayAcquire = ownership.mayAcquire();
    if (mayAcquire && !wasAcquiring) {
      context.controls().forEach(ServerControl::startAnswerTimeout);
      recordClient.requestRead();
    }
    wasAcquiring = mayAcquire;
    context.setObserveEachTick(view.isPrimaryServing() && !view.canConfirmWrites(view.voters()));
    context.controls().forEach(control -> control.step(mayAcquire));
    view.inferRecord();
    if (mayAcquire) {
      stepGroup();
    }
    recordClient.step();
    usage.step(!mayAcquire, switchover.leavingPrimary());
    writeGate.step(requiredCloseReason(mayAcquire));
  }

  private void stepGroup() {
    failureDetector.step();
    if (failureDetector.isPrimarySuspected()
        && !recordClient.isCurrentAsOf(failureDetector.suspectedSince())) {
      recordClient.requestReadSince(failureDetector.suspectedSince());
    }
    String peer = failureDetector.reachablePeer();
    if (peer != null) {
      failureDetector.reset();
      ownership.stepAside(peer);
      return;
    }
    switchover.step();
    ServerControl primary = view.primary();
    if (failureDetector.isPrimaryLost()) {
      promotion.begin(failureDetector.suspectedSince(), false);
    } else if (primary != null && view.isPrimaryUnusable()) {
      promotion.begin(primary.lockedAt(), false);
    } else if (switchover.isReady()) {
      promotion.begin(switchover.idleSince(), true);
    }
    promotion.step();
    if (!promotion.isActive() && !recordClient.isSwapping()) {
      repair.step();
      maintenance.step();
    }
    context.removeUndeclaredExcept(new TreeSet<>(view.voters()));
  }

  private @Nullable CloseReason requiredCloseReason(boolean mayAcquire) {
    if (promotion.isActive()) {
      return CloseReason.REPLACING_PRIMARY;
    }
    if (!mayAcquire) {
      return CloseReason.HANDING_OVER;
    }
    return switchover.leavingPrimary() == null ? null : CloseReason.SWITCHING_OVER;
  }
}
