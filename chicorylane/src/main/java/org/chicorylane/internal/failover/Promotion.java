package org.chicorylane.internal.failover;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.chicorylane.internal.position.LogPosition;
import org.jspecify.annotations.Nullable;

/**
 * Replaces the primary: seals a majority of the voters, chooses the one with the most log, swaps
 * the record and promotes the chosen server. Not thread-safe.
 *
 * <p>Seals are valid only for the revision of the record that was read before the first seal: a
 * home that undoes a seal swaps the record first, so that a swap based on that seal fails. Sealing
 * requires a fresh read of the record, so while the key-value service is down no server is sealed,
 * and a primary that recovers continues in its term.
 */
final class Promotion {
  private enum Phase {
    IDLE,
    SEALING,
    SWAPPING
  }

  private final HomeContext context;
  private final GroupRecordClient recordClient;
  private final GroupView view;
  private final ReplicatedOffsets replicatedOffsets;
  private Phase phase = Phase.IDLE;
  private boolean planned;
  private long baseRevision;
  private Instant majoritySealedSince = Instant.MAX;
  private @Nullable GroupRecord proposedRecord;

  Promotion(
      HomeContext context,
      GroupRecordClient recordClient,
      GroupView view,
      ReplicatedOffsets replicatedOffsets) {
    this.context = context;
    this.recordClient = recordClient;
    this.view = view;
    this.replicatedOffsets = replicatedOffsets;
  }

  /**
   * Returns whether servers are being sealed or the record is being swapped to replace the primary.
   */
  boolean isActive() {
    return phase != Phase.IDLE;
  }

  /**
   * Starts replacing the primary if the record was read after {@code since} and enough replicas are
   * ready; otherwise, requests a read if the record is too old.
   *
   * @param since the time at which the need for a new primary arose
   * @param isPlanned whether this is a planned switchover, in which the primary still answers
   */
  void begin(Instant since, boolean isPlanned) {
    GroupRecord record = recordClient.record();
    if (phase != Phase.IDLE || record == null) {
      return;
    }
    if (!recordClient.isCurrentAsOf(since)) {
      recordClient.requestReadSince(since);
      return;
    }
    planned = isPlanned;
    if (!recordClient.canSwap() || electableReplicas(record).size() < requiredSeals(record)) {
      return;
    }
    phase = Phase.SEALING;
    baseRevision = recordClient.revision();
    majoritySealedSince = Instant.MAX;
    context.controls().forEach(ServerControl::clearSeal);
  }

  /** Abandons the replacement, when the home releases its servers. */
  void abandon() {
    phase = Phase.IDLE;
  }

  /**
   * Performs the next due step of the replacement; if none is active, promotes the record's primary
   * if that is still outstanding.
   */
  void step() {
    switch (phase) {
      case IDLE -> promoteChosen();
      case SEALING -> sealReplicas();
      default -> awaitSwap();
    }
  }

  /**
   * Returns how many replicas must be sealed: a majority of the voters. A planned switchover may
   * count the primary towards the majority if every replica is sealed, as in a group of two
   * servers.
   */
  private int requiredSeals(GroupRecord record) {
    int voters = record.voters().size();
    return planned ? Math.min(record.majority(), voters - 1) : record.majority();
  }

  private List<ServerControl> electableReplicas(GroupRecord record) {
    return context.controls().stream()
        .filter(control -> record.voters().contains(control.name()))
        .filter(ServerControl::isReadyReplica)
        .toList();
  }

  private void sealReplicas() {
    GroupRecord record = recordClient.record();
    boolean hasPrimaryReturned = !planned && view.isPrimaryServing();
    boolean hasPrimaryFailed = planned && !view.isPrimaryServing();
    if (record == null
        || recordClient.revision() != baseRevision
        || hasPrimaryReturned
        || hasPrimaryFailed) {
      phase = Phase.IDLE;
      return;
    }
    List<ServerControl> replicas = electableReplicas(record);
    for (ServerControl replica : replicas) {
      if (replica.seal() == null && replica.pendingCommand() == null) {
        replica.sendSeal();
      }
    }
    List<ServerControl> sealed = replicas.stream().filter(c -> c.seal() != null).toList();
    if (sealed.size() < requiredSeals(record)) {
      majoritySealedSince = Instant.MAX;
      return;
    }
    if (majoritySealedSince.equals(Instant.MAX)) {
      majoritySealedSince = context.now();
      context.report(HomeReport.MAJORITY_SEALED, sealed.size() + " of " + record.voters());
    }
    boolean areAllSealed = sealed.size() == replicas.size();
    if (areAllSealed || context.hasPassed(context.timings().sealWait(), majoritySealedSince)) {
      swap(record, sealed);
    }
  }

  private void swap(GroupRecord record, List<ServerControl> sealed) {
    if (!recordClient.canSwap()) {
      return;
    }
    Comparator<ServerControl> byLogEnd = Comparator.comparing(c -> sealedLogEnd(record, c));
    Comparator<ServerControl> byAcceptsWork =
        Comparator.comparing(c -> context.takesNewWork(c.name()));
    List<ServerControl> sorted = new ArrayList<>(sealed);
    sorted.sort(
        byLogEnd.thenComparing(byAcceptsWork).reversed().thenComparing(ServerControl::name));
    ServerControl chosen = sorted.get(0);
    LogPosition end = sealedLogEnd(record, chosen);
    if (isMissingConfirmedLog(record, end)) {
      phase = Phase.IDLE;
      return;
    }
    long term = Math.max(record.term(), end.term()) + 1;
    proposedRecord =
        new GroupRecord(
            term,
            chosen.name(),
            context.newPromoterId(),
            record.history().next(term, end.offset()),
            record.voters());
    phase = Phase.SWAPPING;
    recordClient.swap(proposedRecord);
  }

  /**
   * Returns whether the chosen log ends before the offset that a majority is known to hold, and
   * reports the broken invariant.
   */
  private boolean isMissingConfirmedLog(GroupRecord record, LogPosition end) {
    long confirmed = replicatedOffsets.confirmedOffset(record.voters());
    if (replicatedOffsets.term() != record.term() || end.term() > record.term()) {
      return false;
    }
    if (end.offset() >= confirmed) {
      return false;
    }
    context.emit(
        new HomeAction.InvariantBroken(
            "a new primary holds every confirmed write",
            "the sealed log ends at " + end + " but was confirmed in " + replicatedOffsets));
    return true;
  }

  private static LogPosition sealedLogEnd(GroupRecord record, ServerControl control) {
    HomeEvent.SealAnswered seal = control.seal();
    if (seal == null) {
      return LogPosition.ZERO;
    }
    return GroupView.endPosition(record.history(), seal.timeline(), seal.receivedOffset());
  }

  private void awaitSwap() {
    if (recordClient.isSwapping()) {
      return;
    }
    phase = Phase.IDLE;
    GroupRecord record = recordClient.record();
    if (record != null
        && proposedRecord != null
        && record.promoter().equals(proposedRecord.promoter())) {
      context.report(HomeReport.PRIMARY_CHOSEN, record.primary() + " in term " + record.term());
      promoteChosen();
    }
  }

  /** Promotes the record's primary if it has not reached the record's term yet. */
  private void promoteChosen() {
    GroupRecord record = recordClient.record();
    ServerControl primary = view.primary();
    if (record == null
        || primary == null
        || recordClient.isSwapping()
        || primary.pendingCommand() != null) {
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
