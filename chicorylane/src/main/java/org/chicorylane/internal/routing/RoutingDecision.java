package org.chicorylane.internal.routing;

import java.time.Instant;
import java.util.List;
import org.chicorylane.internal.outcome.NotRunReason;

/** Who may serve a read. Valid only at the instant of the decision. Immutable and thread-safe. */
public sealed interface RoutingDecision {

  /**
   * Any of these replicas may.
   *
   * @param servers the preferred one first, at least one; the primary comes last if it may help
   */
  record Serve(List<String> servers) implements RoutingDecision {
    /** Copies the servers. */
    public Serve {
      servers = List.copyOf(servers);
    }
  }

  /**
   * A replica should be fresh enough soon; decide again then.
   *
   * @param instant when, by prediction
   * @param why what is waited for, for people
   */
  record WaitUntil(Instant instant, String why) implements RoutingDecision {}

  /**
   * Only the primary may.
   *
   * @param server the primary
   */
  record Primary(String server) implements RoutingDecision {}

  /**
   * None may.
   *
   * @param reason why
   * @param detail what exactly, for people
   */
  record Refuse(NotRunReason reason, String detail) implements RoutingDecision {}
}
