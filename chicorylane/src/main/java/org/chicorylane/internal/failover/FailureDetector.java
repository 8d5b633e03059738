package org.chicorylane.internal.failover;

import java.time.Instant;
import org.jspecify.annotations.Nullable;

/**
 * Failure detector for the primary. Asks other instances before it declares the primary lost, to
 * distinguish a failed server from a bad network link of this instance. Not thread-safe.
 */
final class FailureDetector {
  private final HomeContext context;
  private final GroupView view;
  private @Nullable String suspectedServer;
  private Instant suspectedSince = Instant.MIN;

  /** When the reachable voters became fewer than a majority; MAX while they are a majority. */
  private Instant belowMajoritySince = Instant.MAX;

  private Instant nextRoundAt = Instant.MIN;
  private Instant firstUnreachableAnswerAt = Instant.MAX;
  private Instant lossEvidenceValidUntil = Instant.MIN;

  /** The number of the last round; a round asks all other instances about one server. */
  private long currentRound;

  private boolean isRoundOpen;
  private int unreachableAnswerCount;
  private @Nullable String reachablePeer;

  FailureDetector(HomeContext context, GroupView view) {
    this.context = context;
    this.view = view;
  }

  /** Returns when the suspicion of the suspected server began. */
  Instant suspectedSince() {
    return suspectedSince;
  }

  /** Returns whether the record's primary is suspected to have failed. */
  boolean isPrimarySuspected() {
    ServerControl primary = view.primary();
    return primary != null && primary.name().equals(suspectedServer) && primary.isSuspect();
  }

  /**
   * Returns whether the record's primary counts as lost: suspected, with evidence that is still
   * valid.
   */
  boolean isPrimaryLost() {
    return isPrimarySuspected() && context.now().isBefore(lossEvidenceValidUntil);
  }

  /**
   * Returns the name of an instance that reaches the suspected server although this instance fails
   * to open a connection to it; null if there is none.
   */
  @Nullable String reachablePeer() {
    ServerControl control = suspectedServer == null ? null : context.control(suspectedServer);
    return control != null && control.hasFailedToOpen() ? reachablePeer : null;
  }

  /** Clears every suspicion; called when this instance releases the servers or starts to do so. */
  void reset() {
    suspectedServer = null;
    belowMajoritySince = Instant.MAX;
    endRound();
    lossEvidenceValidUntil = Instant.MIN;
    reachablePeer = null;
  }

  /** Updates the suspicion, and starts or concludes a round of evidence if due. */
  void step() {
    String found = findSuspect();
    if (found == null) {
      suspectedServer = null;
      reachablePeer = null;
      endRound();
      return;
    }
    if (!found.equals(suspectedServer)) {
      beginSuspicion(found);
    }
    if (isRoundOpen
        && context.hasPassed(context.timings().evidenceWait(), firstUnreachableAnswerAt)) {
      concludeRound();
    }
    if (!isRoundOpen && context.isDue(nextRoundAt) && !isPrimaryLost()) {
      startRound(found);
    }
  }

  private @Nullable String findSuspect() {
    ServerControl primary = view.primary();
    if (primary != null && primary.isSuspect()) {
      return primary.name();
    }
    return findUnreachableVoter();
  }

  /**
   * Returns a suspected voter if fewer than a majority of the voters have been reachable for {@link
   * FailoverTimings#suspicionWithoutPeers}; null otherwise.
   */
  private @Nullable String findUnreachableVoter() {
    long suspectCount =
        view.voters().stream()
            .map(context::control)
            .filter(control -> control != null && control.isSuspect())
            .count();
    if (view.voters().size() - suspectCount >= view.majority()) {
      belowMajoritySince = Instant.MAX;
      return null;
    }
    if (belowMajoritySince.equals(Instant.MAX)) {
      belowMajoritySince = context.now();
    }
    if (!context.hasPassed(context.timings().suspicionWithoutPeers(), belowMajoritySince)) {
      return null;
    }
    for (String voter : view.voters()) {
      ServerControl control = context.control(voter);
      if (control != null && control.isSuspect()) {
        return voter;
      }
    }
    return null;
  }

  private void beginSuspicion(String server) {
    suspectedServer = server;
    suspectedSince = context.now();
    nextRoundAt = context.now();
    lossEvidenceValidUntil = Instant.MIN;
    reachablePeer = null;
    endRound();
    if (isPrimarySuspected()) {
      context.report(HomeReport.PRIMARY_SUSPECTED, server);
    }
  }

  private void startRound(String server) {
    currentRound++;
    isRoundOpen = true;
    unreachableAnswerCount = 0;
    firstUnreachableAnswerAt = Instant.MAX;
    reachablePeer = null;
    context.emit(new HomeAction.AskEvidence(server, currentRound));
  }

  private void endRound() {
    isRoundOpen = false;
    unreachableAnswerCount = 0;
    firstUnreachableAnswerAt = Instant.MAX;
  }

  /** Counts the answer of another instance if it belongs to the current round. */
  void onEvidenceAnswered(HomeEvent.EvidenceAnswered answer) {
    if (!isRoundOpen || answer.round() != currentRound) {
      return;
    }
    switch (answer.reachability()) {
      case REACHABLE -> {
        if (isFromCurrentTerm(answer)) {
          reachablePeer = answer.peer();
        }
      }
      case UNREACHABLE -> {
        unreachableAnswerCount++;
        if (unreachableAnswerCount == 1) {
          firstUnreachableAnswerAt = context.now();
        }
      }
      default -> {}
    }
  }

  /** Returns false if the answer is about a former primary, which still writes an older term. */
  private boolean isFromCurrentTerm(HomeEvent.EvidenceAnswered answer) {
    GroupRecord record = view.record();
    return record == null || answer.timeline() == 0 || answer.timeline() >= record.term();
  }

  /**
   * Concludes the round; if there was no instance to ask, a long enough suspicion is sufficient.
   */
  void onEvidenceEnded(HomeEvent.EvidenceEnded ended) {
    if (!isRoundOpen || ended.round() != currentRound) {
      return;
    }
    if (ended.asked() > 0) {
      concludeRound();
      return;
    }
    endRound();
    Instant confirmableWithoutPeersAt =
        suspectedSince.plus(context.timings().suspicionWithoutPeers());
    if (context.isDue(confirmableWithoutPeersAt)) {
      confirmLoss("no other instance to ask");
    }
    nextRoundAt = confirmableWithoutPeersAt;
  }

  private void concludeRound() {
    boolean isLost = unreachableAnswerCount > 0 && reachablePeer == null;
    int count = unreachableAnswerCount;
    endRound();
    nextRoundAt = context.now().plus(context.jittered(context.timings().evidenceRetry()));
    if (isLost) {
      confirmLoss(count + " other instances do not reach it");
    }
  }

  private void confirmLoss(String reason) {
    lossEvidenceValidUntil = context.now().plus(context.timings().evidenceValidity());
    nextRoundAt = lossEvidenceValidUntil;
    if (isPrimarySuspected()) {
      context.report(HomeReport.PRIMARY_LOST, suspectedServer + ": " + reason);
    }
  }
}
