package org.chicorylane.internal.failover;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.chicorylane.internal.position.LogPosition;
import org.jspecify.annotations.Nullable;

/**
 * Replaces the primary: seals a majority of the voters, chooses the one with the most log, swaps
 * the record, promotes. Not thread-safe.
 *
 * <p>The seals count only for the revision of the record that was read before the first of them: a
 * home that undoes a seal swaps the record first, so this swap then fails. Sealing needs a fresh
 * read, so while the key-value service is down nothing is sealed and a primary that comes back goes
 * on.
 */
final class Promotion {
  private enum Phase {
    IDLE,
    SEALING,
    SWAPPING
  }

  private final HomeContext context;
  private final RecordKeeper keeper;
  private final GroupView view;
  private final HeldLog heldLog;
  private Phase phase = Phase.IDLE;
  private boolean planned;
  private long baseRevision;
  private Instant majoritySince = Instant.MAX;
  private @Nullable GroupRecord swapped;

  Promotion(HomeContext context, RecordKeeper keeper, GroupView view, HeldLog heldLog) {
    this.context = context;
    this.keeper = keeper;
    this.view = view;
    this.heldLog = heldLog;
  }

  /** Returns whether seals or a swap of the primary are under way. */
  boolean isActive() {
    return phase != Phase.IDLE;
  }

  /**
   * Begins, if the record was read after {@code since} and enough replicas are ready.
   *
   * @param plannedSwitchover whether the primary still answers and is to be replaced anyway
   */
  void begin(Instant since, boolean plannedSwitchover) {
    GroupRecord record = keeper.record();
    if (phase != Phase.IDLE || record == null) {
      return;
    }
    if (!keeper.isKnownSince(since)) {
      keeper.wantReadSince(since);
      return;
    }
    planned = plannedSwitchover;
    if (!keeper.canSwap() || electable(record).size() < neededSeals(record)) {
      return;
    }
    phase = Phase.SEALING;
    baseRevision = keeper.revision();
    majoritySince = Instant.MAX;
    context.controls().forEach(ServerControl::forgetSeal);
  }

  /** Gives up, when the home lets go of its servers. */
  void abandon() {
    phase = Phase.IDLE;
  }

  /** Does what is due. */
  void step() {
    switch (phase) {
      case IDLE -> promoteChosen();
      case SEALING -> seal();
      default -> awaitSwap();
    }
  }

  /**
   * Returns how many replicas must be sealed: a majority, of which a planned switchover may count
   * the primary when every replica is sealed, as in a group of two.
   */
  private int neededSeals(GroupRecord record) {
    int voters = record.voters().size();
    return planned ? Math.min(record.majority(), voters - 1) : record.majority();
  }

  private List<ServerControl> electable(GroupRecord record) {
    return context.controls().stream()
        .filter(control -> record.voters().contains(control.name()))
        .filter(ServerControl::isReadyReplica)
        .toList();
  }

  private void seal() {
    GroupRecord record = keeper.record();
    boolean isBack = !planned && view.isPrimaryServing();
    boolean isGone = planned && !view.isPrimaryServing();
    if (record == null || keeper.revision() != baseRevision || isBack || isGone) {
      phase = Phase.IDLE;
      return;
    }
    List<ServerControl> replicas = electable(record);
    for (ServerControl replica : replicas) {
      if (replica.seal() == null && replica.command() == null) {
        replica.sendSeal();
      }
    }
    List<ServerControl> sealed = replicas.stream().filter(c -> c.seal() != null).toList();
    if (sealed.size() < neededSeals(record)) {
      majoritySince = Instant.MAX;
      return;
    }
    if (majoritySince.equals(Instant.MAX)) {
      majoritySince = context.now();
      context.report(HomeReport.MAJORITY_SEALED, sealed.size() + " of " + record.voters());
    }
    boolean complete = sealed.size() == replicas.size();
    if (complete || context.hasPassed(context.timings().sealWait(), majoritySince)) {
      swap(record, sealed);
    }
  }

  private void swap(GroupRecord record, List<ServerControl> sealed) {
    if (!keeper.canSwap()) {
      return;
    }
    Comparator<ServerControl> byLog = Comparator.comparing(c -> sealedEnd(record, c));
    Comparator<ServerControl> byState = Comparator.comparing(c -> context.takesNewWork(c.name()));
    List<ServerControl> sorted = new ArrayList<>(sealed);
    sorted.sort(byLog.thenComparing(byState).reversed().thenComparing(ServerControl::name));
    ServerControl chosen = sorted.get(0);
    LogPosition end = sealedEnd(record, chosen);
    if (isShortOfConfirmed(record, end)) {
      phase = Phase.IDLE;
      return;
    }
    long term = Math.max(record.term(), end.term()) + 1;
    swapped =
        new GroupRecord(
            term,
            chosen.name(),
            context.newPromoter(),
            record.history().next(term, end.offset()),
            record.voters());
    phase = Phase.SWAPPING;
    keeper.swap(swapped);
  }

  private boolean isShortOfConfirmed(GroupRecord record, LogPosition end) {
    long confirmed = heldLog.confirmedOffset(record.voters());
    if (heldLog.term() != record.term() || end.term() > record.term()) {
      return false;
    }
    if (end.offset() >= confirmed) {
      return false;
    }
    context.emit(
        new HomeAction.InvariantBroken(
            "a new primary holds every confirmed write",
            "the sealed log ends at " + end + " but was confirmed in " + heldLog));
    return true;
  }

  private static LogPosition sealedEnd(GroupRecord record, ServerControl control) {
    HomeEvent.SealAnswered seal = control.seal();
    if (seal == null) {
      return LogPosition.ZERO;
    }
    return GroupView.endOf(record.history(), seal.timeline(), seal.receivedOffset());
  }

  private void awaitSwap() {
    if (keeper.isSwapping()) {
      return;
    }
    phase = Phase.IDLE;
    GroupRecord record = keeper.record();
    if (record != null && swapped != null && record.promoter().equals(swapped.promoter())) {
      context.report(HomeReport.PRIMARY_CHOSEN, record.primary() + " in term " + record.term());
      promoteChosen();
    }
  }

  /** Promotes the record's primary if it has not reached the record's term yet. */
  private void promoteChosen() {
    GroupRecord record = keeper.record();
    ServerControl primary = view.primary();
    if (record == null || primary == null || keeper.isSwapping() || primary.command() != null) {
      return;
    }
    ServerObservation seen = primary.observation();
    boolean isSealed = primary.seal() != null || (seen != null && seen.upstream() == null);
    if (seen != null && isSealed && seen.inRecovery() && seen.timeline() < record.term()) {
      primary.sendPromote(record.term());
    }
  }

  void onPromoted(HomeEvent.Promoted promoted) {
    context.report(
        HomeReport.PROMOTED,
        promoted.connection().server()
            + " writes timeline "
            + promoted.timeline()
            + " from "
            + promoted.startOffset());
  }
}
