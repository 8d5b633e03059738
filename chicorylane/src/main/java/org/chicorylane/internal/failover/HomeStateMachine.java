package org.chicorylane.internal.failover;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.TreeSet;
import org.chicorylane.internal.declaration.DatabaseGroup;
import org.chicorylane.internal.position.LogPosition;
import org.jspecify.annotations.Nullable;

/**
 * Decides for one instance and one database group whether the instance is the group's home, which
 * servers it uses, whether writes are open, and when the primary is replaced.
 *
 * <pre>{@code
 * HomeStateMachine machine = new HomeStateMachine(instance, group, FailoverTimings.DEFAULTS, random.nextLong());
 * for (HomeAction action : machine.handle(new HomeEvent.Tick(), clock.instant())) {
 *   adapters.run(action); // answers come back as further events
 * }
 * }</pre>
 *
 * <p>After each event the machine compares what it knows with what should be and returns what is
 * missing, so lost and repeated events do no harm. The seed must differ between processes: it makes
 * the writer of a record known again.
 *
 * <p>Not thread-safe: one thread at a time, events in the order in which they happened, and {@code
 * now} never going back. A home keeps its locks through a pause of its process only as long as its
 * control connections live; the machine takes no clock's word for them.
 */
public final class HomeStateMachine {
  private final HomeContext context;
  private final RecordKeeper keeper;
  private final GroupView view;
  private final HeldLog heldLog = new HeldLog();
  private final Suspicion suspicion;
  private final Promotion promotion;
  private final ServerUsage usage;
  private final Ownership ownership;
  private final Switchover switchover;
  private final Repair repair;
  private final RecordUpkeep upkeep;
  private final WritesGate gate;
  private boolean acquiring;
  private @Nullable Instant lastEventAt;

  /**
   * Creates a machine that owns nothing yet.
   *
   * @param instance this instance's name, as in {@link HomeEvent.CandidatesChanged}
   * @param group the declared group
   * @param timings the timings
   * @param seed makes waits and record ids differ; no two processes may use the same
   */
  public HomeStateMachine(
      String instance, DatabaseGroup group, FailoverTimings timings, long seed) {
    context = new HomeContext(instance, group, timings, seed);
    keeper = new RecordKeeper(context);
    view = new GroupView(context, keeper);
    suspicion = new Suspicion(context, view);
    promotion = new Promotion(context, keeper, view, heldLog);
    usage = new ServerUsage(context, view);
    ownership = new Ownership(context, usage);
    switchover = new Switchover(context, keeper, view, usage);
    repair = new Repair(context, view);
    upkeep = new RecordUpkeep(context, keeper, view, repair);
    gate = new WritesGate(context, keeper, view);
  }

  /**
   * Takes an event.
   *
   * @param event what happened
   * @param now the time, not before that of the last event
   * @return what to do, in order
   */
  public List<HomeAction> handle(HomeEvent event, Instant now) {
    context.setNow(now);
    noticeOwnPause(now);
    apply(event);
    step();
    return context.takeActions();
  }

  /** Returns whether writes are open. */
  public boolean isServingWrites() {
    return gate.isOpen();
  }

  private void noticeOwnPause(Instant now) {
    Instant last = lastEventAt;
    lastEventAt = now;
    if (last != null
        && Duration.between(last, now).compareTo(context.timings().selfPauseThreshold()) > 0) {
      context.controls().forEach(ServerControl::forgiveSilence);
    }
  }

  private void apply(HomeEvent event) {
    if (event instanceof HomeEvent.ConnectionEvent ofConnection) {
      applyToConnection(ofConnection);
    } else if (event instanceof HomeEvent.CandidatesChanged preferred) {
      ownership.onPreferred(preferred);
    } else if (event instanceof HomeEvent.TakeoverRequested) {
      ownership.onTakeRequested();
    } else if (event instanceof HomeEvent.Drain) {
      ownership.onDrain();
    } else if (event instanceof HomeEvent.GroupChanged changed) {
      context.declare(changed.group());
    } else if (event instanceof HomeEvent.WorkEnded ended) {
      usage.onWorkEnded(ended.server());
    } else if (event instanceof HomeEvent.ObserveNow) {
      context.controls().forEach(ServerControl::observeSoon);
    } else if (event instanceof HomeEvent.EvidenceAnswered answered) {
      suspicion.onAnswered(answered);
    } else if (event instanceof HomeEvent.EvidenceEnded ended) {
      suspicion.onEnded(ended);
    } else {
      applyToRecord(event);
    }
  }

  private void applyToRecord(HomeEvent event) {
    if (event instanceof HomeEvent.RecordRead read) {
      keeper.onRead(read.stored());
    } else if (event instanceof HomeEvent.RecordUnavailable failed) {
      keeper.onUnavailable(failed.reason());
    } else if (event instanceof HomeEvent.RecordSwapped swapped) {
      keeper.onSwapped(swapped.result());
    }
  }

  private void applyToConnection(HomeEvent.ConnectionEvent event) {
    ServerControl control = context.control(event.connection().server());
    if (control == null || !control.isOpen() || !control.connection().equals(event.connection())) {
      return;
    }
    boolean wasReady = control.isReady();
    Instant observedFor = control.on(event);
    if (!wasReady && control.isReady()) {
      keeper.wantRead();
    }
    if (event instanceof HomeEvent.Promoted promoted) {
      promotion.onPromoted(promoted);
    }
    ServerObservation seen = control.observation();
    if (observedFor != null && seen != null) {
      onObserved(control, seen, observedFor);
    }
  }

  private void onObserved(ServerControl control, ServerObservation seen, Instant sentAt) {
    GroupRecord record = view.record();
    if (record == null) {
      return;
    }
    if (seen.timeline() > record.term()) {
      keeper.wantRead();
    }
    heldLog.begin(record.term());
    if (view.holds(control) && !promotion.isActive()) {
      heldLog.add(control.name(), record.term(), seen.offset());
      context.emit(new HomeAction.LogHeld(control.name(), record.term(), seen.offset()));
    }
    boolean isPrimary = control.name().equals(record.primary());
    if (isPrimary ? view.holds(control) : seen.inRecovery() && view.isConsistent(seen)) {
      LogPosition replayed =
          GroupView.endOf(record.history(), seen.timeline(), seen.replayedOffset());
      context.emit(new HomeAction.ServerSampled(control.name(), replayed, seen, sentAt));
    }
  }

  private void step() {
    if (ownership.step(view.majority())) {
      promotion.abandon();
      suspicion.reset();
    }
    boolean mayAcquire = ownership.mayAcquire();
    if (mayAcquire && !acquiring) {
      context.controls().forEach(ServerControl::expectAnswers);
      keeper.wantRead();
    }
    acquiring = mayAcquire;
    context.setEager(view.isPrimaryServing() && !view.canConfirm(view.voters()));
    context.controls().forEach(control -> control.step(mayAcquire));
    view.infer();
    if (mayAcquire) {
      stepGroup();
    }
    keeper.step();
    usage.step(!mayAcquire, switchover.leaving());
    gate.step(orderToClose(mayAcquire));
  }

  private void stepGroup() {
    suspicion.step();
    if (suspicion.isPrimarySuspected() && !keeper.isKnownSince(suspicion.suspectedSince())) {
      keeper.wantReadSince(suspicion.suspectedSince());
    }
    String peer = suspicion.reachablePeer();
    if (peer != null) {
      suspicion.reset();
      ownership.stepAside(peer);
      return;
    }
    switchover.step();
    ServerControl primary = view.primary();
    if (suspicion.isPrimaryLost()) {
      promotion.begin(suspicion.suspectedSince(), false);
    } else if (primary != null && view.isPrimaryUnfit()) {
      promotion.begin(primary.lockedAt(), false);
    } else if (switchover.isReady()) {
      promotion.begin(switchover.quietSince(), true);
    }
    promotion.step();
    if (!promotion.isActive() && !keeper.isSwapping()) {
      repair.step();
      upkeep.step();
    }
    context.forgetExcept(new TreeSet<>(view.voters()));
  }

  private @Nullable CloseReason orderToClose(boolean mayAcquire) {
    if (promotion.isActive()) {
      return CloseReason.REPLACING_PRIMARY;
    }
    if (!mayAcquire) {
      return CloseReason.HANDING_OVER;
    }
    return switchover.leaving() == null ? null : CloseReason.SWITCHING_OVER;
  }
}
