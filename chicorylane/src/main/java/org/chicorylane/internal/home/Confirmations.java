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
 * Committed writes that wait until a majority of the group's servers holds them.
 *
 * <p>Runs on the group's executor only.
 */
final class Confirmations {
  private static final Duration RETRY_AFTER = Duration.ofMillis(500);

  private final ConfirmationTracker tracker = new ConfirmationTracker();
  private final Map<String, Waiting> waiting = new HashMap<>();
  private final Consumer<String> settledOn;

  private record Waiting(
      PendingRequest ticket, String server, Execution.Committed committed, LogPosition position) {}

  /**
   * Makes an empty set.
   *
   * @param settledOn told of the server each time that one of its writes waits no longer
   */
  Confirmations(Consumer<String> settledOn) {
    this.settledOn = settledOn;
  }

  void await(
      PendingRequest ticket, String server, Execution.Committed committed, LogPosition position) {
    waiting.put(ticket.id(), new Waiting(ticket, server, committed, position));
    settle(tracker.submit(ticket.id(), position, ticket.request().deadline()));
  }

  void open(HomeAction.OpenWrites opened) {
    settle(tracker.beginTerm(opened.term(), opened.voters()));
  }

  void held(HomeAction.LogHeld held) {
    settle(tracker.onLogHeld(held.server(), held.term(), held.offset()));
  }

  void expire(Instant now) {
    settle(tracker.expire(now));
  }

  /** Ends all as unknown. */
  void end() {
    settle(tracker.endTerm());
  }

  boolean isEmpty() {
    return waiting.isEmpty();
  }

  boolean waitsOn(String server) {
    return waiting.values().stream().anyMatch(w -> w.server().equals(server));
  }

  private void settle(List<ConfirmationTracker.Settlement> settlements) {
    for (ConfirmationTracker.Settlement s : settlements) {
      Waiting w = waiting.remove(s.id());
      if (w == null) {
        continue;
      }
      if (s.confirmed()) {
        w.ticket()
            .complete(
                new Outcome.Completed(
                    w.committed().results(),
                    w.position(),
                    w.committed().replayed(),
                    w.server(),
                    false,
                    null));
      } else {
        w.ticket().doubt(RETRY_AFTER, "committed on \"" + w.server() + "\" but not confirmed");
      }
      settledOn.accept(w.server());
    }
  }
}
