package org.chicorylane.internal.failover;

import java.time.Instant;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Whether this instance tries to be home, and letting go of the group without cutting work in
 * flight. Not thread-safe.
 */
final class Ownership {
  private final HomeContext context;
  private final ServerUsage usage;
  private boolean firstCandidate;
  private List<String> candidates = List.of();
  private Instant notPreferredSince = Instant.MIN;
  private Instant takenUntil = Instant.MIN;
  private Instant asideUntil = Instant.MIN;
  private Instant splitSince = Instant.MAX;
  private Instant releaseBy = Instant.MAX;
  private boolean draining;
  private boolean releasing;
  private @Nullable String successor;

  Ownership(HomeContext context, ServerUsage usage) {
    this.context = context;
    this.usage = usage;
  }

  void onPreferred(HomeEvent.CandidatesChanged preferred) {
    if (firstCandidate && !preferred.firstCandidate()) {
      notPreferredSince = context.now();
    }
    firstCandidate = preferred.firstCandidate();
    candidates = preferred.candidates();
  }

  void onTakeRequested() {
    takenUntil = context.now().plus(context.timings().takeoverHold());
    asideUntil = Instant.MIN;
  }

  void onDrain() {
    draining = true;
  }

  /** Returns whether the home lets go of its servers. */
  boolean isReleasing() {
    return releasing;
  }

  /** Returns whether control connections may be opened and locks tried. */
  boolean mayAcquire() {
    return !releasing && (isWanted() || (isAnyOpen() && !isHoldOver()));
  }

  private boolean isWanted() {
    boolean chosen = firstCandidate || context.now().isBefore(takenUntil);
    return chosen && !draining && context.isDue(asideUntil);
  }

  private boolean isHoldOver() {
    boolean heldLongEnough =
        context.hasPassed(context.timings().preferenceHold(), notPreferredSince);
    return draining || !context.isDue(asideUntil) || heldLongEnough;
  }

  private boolean isAnyOpen() {
    return context.controls().stream().anyMatch(ServerControl::isOpen);
  }

  /** Lets another instance that reaches the servers take the group. */
  void stepAside(String peer) {
    if (releasing) {
      return;
    }
    context.report(HomeReport.STEPPING_ASIDE, peer + " reaches the server");
    asideUntil = context.now().plus(context.jittered(context.timings().stepAsidePeriod()));
    takenUntil = Instant.MIN;
    release(peer, context.now().plus(context.timings().stepAsideGrace()));
  }

  /**
   * Does what is due.
   *
   * @return whether the home has just let go of its servers
   */
  boolean step(int majority) {
    if (!releasing && isAnyOpen() && !isWanted() && isHoldOver()) {
      release(nextCandidate(), Instant.MAX);
    }
    if (!releasing) {
      return leaveSplit(majority);
    }
    if (usage.hasAnyWork() && !context.isDue(releaseBy)) {
      return false;
    }
    boolean owned = context.controls().stream().anyMatch(ServerControl::isLocked);
    closeAll();
    releasing = false;
    if (successor != null && (owned || !releaseBy.equals(Instant.MAX))) {
      context.emit(new HomeAction.HandOver(successor));
    }
    context.report(HomeReport.HOME_RELEASED, "to " + successor);
    return true;
  }

  private void release(@Nullable String to, Instant by) {
    releasing = true;
    successor = to;
    releaseBy = by;
  }

  /** Lets go of a few locks while another home has held the rest for long. */
  private boolean leaveSplit(int majority) {
    long locked = context.controls().stream().filter(ServerControl::isLocked).count();
    boolean refused = context.controls().stream().anyMatch(ServerControl::isRefused);
    if (locked == 0 || locked >= majority || !refused) {
      splitSince = Instant.MAX;
      return false;
    }
    if (splitSince.equals(Instant.MAX)) {
      splitSince = context.now();
    }
    if (!context.hasPassed(context.timings().minorityHold(), splitSince)) {
      return false;
    }
    splitSince = Instant.MAX;
    takenUntil = Instant.MIN;
    asideUntil = context.now().plus(context.jittered(context.timings().stepAsidePeriod()));
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
