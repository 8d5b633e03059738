package org.chicorylane.internal.routing;

import java.time.Instant;
import java.util.List;
import org.chicorylane.internal.outcome.NotRunReason;

/**
 * Result of {@link ReplicaRouter#choose}: which servers may serve a read. Valid only at the instant
 * of the decision. Immutable and thread-safe.
 */
public sealed interface RoutingDecision {

  /**
   * Any of these servers may serve the read.
   *
   * @param servers at least one replica, in order of preference; followed by the primary if the
   *     read may overflow to it
   */
  record Serve(List<String> servers) implements RoutingDecision {
    /** Creates a decision with a copy of {@code servers}. */
    public Serve {
      servers = List.copyOf(servers);
    }
  }

  /**
   * No replica is fresh enough, but one is predicted to be soon; the caller decides again then.
   *
   * @param instant the predicted instant
   * @param detail a human-readable description of what the read waits for
   */
  record WaitUntil(Instant instant, String detail) implements RoutingDecision {}

  /**
   * Only the primary may serve the read.
   *
   * @param server the primary's name
   */
  record Primary(String server) implements RoutingDecision {}

  /**
   * No server may serve the read.
   *
   * @param reason the kind of refusal
   * @param detail a human-readable description of the cause
   */
  record Refuse(NotRunReason reason, String detail) implements RoutingDecision {}
}
