package org.chicorylane.internal.failover;

import java.time.Instant;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Decides whether this instance tries to be home of the group, and releases the group without
 * interrupting work in flight. Not thread-safe.
 */
final class Ownership {
  private final HomeContext context;
  private final ServerUsage usage;
  private boolean firstCandidate;
  private List<String> candidates = List.of();
  private Instant notPreferredSince = Instant.MIN;
  private Instant takeoverUntil = Instant.MIN;
  private Instant stepAsideUntil = Instant.MIN;
  private Instant minoritySince = Instant.MAX;
  private Instant releaseDeadline = Instant.MAX;
  private boolean draining;
  private boolean releasing;
  private @Nullable String successor;

  Ownership(HomeContext context, ServerUsage usage) {
    this.context = context;
    this.usage = usage;
  }

  void onCandidatesChanged(HomeEvent.CandidatesChanged event) {
    if (firstCandidate && !event.firstCandidate()) {
      notPreferredSince = context.now();
    }
    firstCandidate = event.firstCandidate();
    candidates = event.candidates();
  }

  void onTakeoverRequested() {
    takeoverUntil = context.now().plus(context.timings().takeoverHold());
    stepAsideUntil = Instant.MIN;
  }

  void onDrain() {
    draining = true;
  }

  /** Returns whether the home is releasing its servers. */
  boolean isReleasing() {
    return releasing;
  }

  /** Returns whether control connections may be opened and locks acquired. */
  boolean mayAcquire() {
    return !releasing && (isWanted() || (hasOpenConnection() && !hasHoldEnded()));
  }

  private boolean isWanted() {
    boolean isChosen = firstCandidate || context.now().isBefore(takeoverUntil);
    return isChosen && !draining && context.isDue(stepAsideUntil);
  }

  private boolean hasHoldEnded() {
    boolean heldLongEnough =
        context.hasPassed(context.timings().preferenceHold(), notPreferredSince);
    return draining || !context.isDue(stepAsideUntil) || heldLongEnough;
  }

  private boolean hasOpenConnection() {
    return context.controls().stream().anyMatch(ServerControl::isOpen);
  }

  /**
   * Starts releasing the group so that another instance, which reaches the servers, can become
   * home.
   *
   * @param peer the name of that instance
   */
  void stepAside(String peer) {
    if (releasing) {
      return;
    }
    context.report(HomeReport.STEPPING_ASIDE, peer + " reaches the server");
    stepAsideUntil = context.now().plus(context.jittered(context.timings().stepAsidePeriod()));
    takeoverUntil = Instant.MIN;
    release(peer, context.now().plus(context.timings().stepAsideGrace()));
  }

  /**
   * Starts or completes a release that is due.
   *
   * @param majority the number of servers that form a majority of the voters
   * @return whether the home has just released its servers
   */
  boolean step(int majority) {
    if (!releasing && hasOpenConnection() && !isWanted() && hasHoldEnded()) {
      release(nextCandidate(), Instant.MAX);
    }
    if (!releasing) {
      return releaseMinorityLocks(majority);
    }
    if (usage.hasAnyWork() && !context.isDue(releaseDeadline)) {
      return false;
    }
    boolean hadLock = context.controls().stream().anyMatch(ServerControl::isLocked);
    closeAll();
    releasing = false;
    if (successor != null && (hadLock || !releaseDeadline.equals(Instant.MAX))) {
      context.emit(new HomeAction.HandOver(successor));
    }
    context.report(HomeReport.HOME_RELEASED, "to " + successor);
    return true;
  }

  private void release(@Nullable String to, Instant deadline) {
    releasing = true;
    successor = to;
    releaseDeadline = deadline;
  }

  /**
   * Releases the locks if they have been fewer than a majority for {@link
   * FailoverTimings#minorityHold} while another home holds others.
   */
  private boolean releaseMinorityLocks(int majority) {
    long lockedCount = context.controls().stream().filter(ServerControl::isLocked).count();
    boolean isLockRefused = context.controls().stream().anyMatch(ServerControl::isLockRefused);
    if (lockedCount == 0 || lockedCount >= majority || !isLockRefused) {
      minoritySince = Instant.MAX;
      return false;
    }
    if (minoritySince.equals(Instant.MAX)) {
      minoritySince = context.now();
    }
    if (!context.hasPassed(context.timings().minorityHold(), minoritySince)) {
      return false;
    }
    minoritySince = Instant.MAX;
    takeoverUntil = Instant.MIN;
    stepAsideUntil = context.now().plus(context.jittered(context.timings().stepAsidePeriod()));
    closeAll();
    return true;
  }

  private void closeAll() {
    context.controls().forEach(ServerControl::close);
  }

  private @Nullable String nextCandidate() {
    return candidates.stream().filter(c -> !c.equals(context.instance())).findFirst().orElse(null);
  }
}
