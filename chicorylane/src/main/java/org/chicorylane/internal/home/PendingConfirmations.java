package org.chicorylane.internal.home;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.chicorylane.internal.failover.ConfirmationTracker;
import org.chicorylane.internal.failover.HomeAction;
import org.chicorylane.internal.outcome.Outcome;
import org.chicorylane.internal.position.LogPosition;

/**
 * Committed writes that are not acknowledged yet because they wait for a quorum: a majority of the
 * group's servers must hold them.
 *
 * <p>Runs on the group's executor only.
 */
final class PendingConfirmations {
  private static final Duration UNCONFIRMED_RETRY_DELAY = Duration.ofMillis(500);

  private final ConfirmationTracker tracker = new ConfirmationTracker();
  private final Map<String, WaitingWrite> waiting = new HashMap<>();
  private final Consumer<String> onSettled;

  private record WaitingWrite(
      PendingRequest pending,
      String server,
      ExecutionResult.Committed committed,
      LogPosition position) {}

  /**
   * Creates an empty set.
   *
   * @param onSettled called with the server's name each time one of its writes stops waiting
   */
  PendingConfirmations(Consumer<String> onSettled) {
    this.onSettled = onSettled;
  }

  /** Adds a committed write, which completes once it is confirmed or its deadline passes. */
  void add(
      PendingRequest pending,
      String server,
      ExecutionResult.Committed committed,
      LogPosition position) {
    waiting.put(pending.id(), new WaitingWrite(pending, server, committed, position));
    settle(tracker.submit(pending.id(), position, pending.request().deadline()));
  }

  void onWritesOpened(HomeAction.OpenWrites opened) {
    settle(tracker.beginTerm(opened.term(), opened.voters()));
  }

  void onLogHeld(HomeAction.LogHeld held) {
    settle(tracker.onLogHeld(held.server(), held.term(), held.offset()));
  }

  void expire(Instant now) {
    settle(tracker.expire(now));
  }

  /** Completes all waiting writes with an unknown outcome. */
  void endAll() {
    settle(tracker.endTerm());
  }

  boolean isEmpty() {
    return waiting.isEmpty();
  }

  /** Returns whether a write that was committed on {@code server} is waiting. */
  boolean hasWaitingOn(String server) {
    return waiting.values().stream().anyMatch(write -> write.server().equals(server));
  }

  private void settle(List<ConfirmationTracker.Settlement> settlements) {
    for (ConfirmationTracker.Settlement settlement : settlements) {
      WaitingWrite write = waiting.remove(settlement.id());
      if (write == null) {
        continue;
      }
      if (settlement.confirmed()) {
        write
            .pending()
            .complete(
                new Outcome.Completed(
                    write.committed().results(),
                    write.position(),
                    write.committed().replayed(),
                    write.server(),
                    false,
                    null));
      } else {
        write
            .pending()
            .completeUnknown(
                UNCONFIRMED_RETRY_DELAY,
                "committed on \"" + write.server() + "\" but not confirmed");
      }
      onSettled.accept(write.server());
    }
  }
}
