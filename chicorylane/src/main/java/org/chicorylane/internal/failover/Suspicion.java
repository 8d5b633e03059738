package org.chicorylane.internal.failover;

import java.time.Instant;
import org.jspecify.annotations.Nullable;

/**
 * Decides whether the primary is lost, with the evidence of other instances, or whether this
 * instance's own link is bad. Not thread-safe.
 */
final class Suspicion {
  private final HomeContext context;
  private final GroupView view;
  private @Nullable String suspect;
  private Instant suspectedSince = Instant.MIN;
  private Instant shortSince = Instant.MAX;
  private Instant nextRoundAt = Instant.MIN;
  private Instant firstUnreachableAt = Instant.MAX;
  private Instant lostUntil = Instant.MIN;
  private long round;
  private boolean roundOpen;
  private int unreachable;
  private @Nullable String reachablePeer;

  Suspicion(HomeContext context, GroupView view) {
    this.context = context;
    this.view = view;
  }

  /** Returns since when the suspected server is suspected. */
  Instant suspectedSince() {
    return suspectedSince;
  }

  /** Returns whether the record's primary is suspected. */
  boolean isPrimarySuspected() {
    ServerControl primary = view.primary();
    return primary != null && primary.name().equals(suspect) && primary.isSuspect();
  }

  /** Returns whether the record's primary is taken to be lost. */
  boolean isPrimaryLost() {
    return isPrimarySuspected() && context.now().isBefore(lostUntil);
  }

  /**
   * Returns an instance that reaches the suspected server, to which a new connection of this one
   * has failed; null if there is none.
   */
  @Nullable String reachablePeer() {
    ServerControl control = suspect == null ? null : context.control(suspect);
    return control != null && control.hasFailedToOpen() ? reachablePeer : null;
  }

  /** Forgets every suspicion, when the home begins or ends. */
  void reset() {
    suspect = null;
    shortSince = Instant.MAX;
    endRound();
    lostUntil = Instant.MIN;
    reachablePeer = null;
  }

  /** Does what is due. */
  void step() {
    String found = findSuspect();
    if (found == null) {
      suspect = null;
      reachablePeer = null;
      endRound();
      return;
    }
    if (!found.equals(suspect)) {
      begin(found);
    }
    if (roundOpen && context.hasPassed(context.timings().evidenceWait(), firstUnreachableAt)) {
      decide();
    }
    if (!roundOpen && context.isDue(nextRoundAt) && !isPrimaryLost()) {
      ask(found);
    }
  }

  private @Nullable String findSuspect() {
    ServerControl primary = view.primary();
    if (primary != null && primary.isSuspect()) {
      return primary.name();
    }
    return findUnreachedVoter();
  }

  /** Returns a voter that is not reached, if for a while too few voters are. */
  private @Nullable String findUnreachedVoter() {
    long silent =
        view.voters().stream()
            .map(context::control)
            .filter(control -> control != null && control.isSuspect())
            .count();
    if (view.voters().size() - silent >= view.majority()) {
      shortSince = Instant.MAX;
      return null;
    }
    if (shortSince.equals(Instant.MAX)) {
      shortSince = context.now();
    }
    if (!context.hasPassed(context.timings().suspicionWithoutPeers(), shortSince)) {
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

  private void begin(String server) {
    suspect = server;
    suspectedSince = context.now();
    nextRoundAt = context.now();
    lostUntil = Instant.MIN;
    reachablePeer = null;
    endRound();
    if (isPrimarySuspected()) {
      context.report(HomeReport.PRIMARY_SUSPECTED, server);
    }
  }

  private void ask(String server) {
    round++;
    roundOpen = true;
    unreachable = 0;
    firstUnreachableAt = Instant.MAX;
    reachablePeer = null;
    context.emit(new HomeAction.AskEvidence(server, round));
  }

  private void endRound() {
    roundOpen = false;
    unreachable = 0;
    firstUnreachableAt = Instant.MAX;
  }

  void onAnswered(HomeEvent.EvidenceAnswered answer) {
    if (!roundOpen || answer.round() != round) {
      return;
    }
    switch (answer.reachability()) {
      case REACHABLE -> {
        if (isCurrent(answer)) {
          reachablePeer = answer.peer();
        }
      }
      case UNREACHABLE -> {
        unreachable++;
        if (unreachable == 1) {
          firstUnreachableAt = context.now();
        }
      }
      default -> {}
    }
  }

  /** Returns false if the answer is of a former primary, which still writes an older term. */
  private boolean isCurrent(HomeEvent.EvidenceAnswered answer) {
    GroupRecord record = view.record();
    return record == null || answer.timeline() == 0 || answer.timeline() >= record.term();
  }

  void onEnded(HomeEvent.EvidenceEnded ended) {
    if (!roundOpen || ended.round() != round) {
      return;
    }
    if (ended.asked() > 0) {
      decide();
      return;
    }
    endRound();
    Instant certainAt = suspectedSince.plus(context.timings().suspicionWithoutPeers());
    if (context.isDue(certainAt)) {
      lost("no other instance to ask");
    }
    nextRoundAt = certainAt;
  }

  private void decide() {
    boolean lost = unreachable > 0 && reachablePeer == null;
    int count = unreachable;
    endRound();
    nextRoundAt = context.now().plus(context.jittered(context.timings().evidenceRetry()));
    if (lost) {
      lost(count + " other instances do not reach it");
    }
  }

  private void lost(String why) {
    lostUntil = context.now().plus(context.timings().evidenceValidity());
    nextRoundAt = lostUntil;
    if (isPrimarySuspected()) {
      context.report(HomeReport.PRIMARY_LOST, suspect + ": " + why);
    }
  }
}
