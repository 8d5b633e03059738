package org.chicorylane.internal.admission;

import java.time.Duration;
import org.chicorylane.internal.outcome.NotRunReason;

/** What to do with a ticket. Every ticket gets exactly one action. Immutable and thread-safe. */
public sealed interface AdmissionAction {

  /** Returns the ticket. */
  Ticket ticket();

  /**
   * Run the request on the server, then tell {@link AdmissionQueue#releaseSlot}.
   *
   * @param ticket the ticket
   * @param server the name of the server whose slot it holds
   */
  record Dispatch(Ticket ticket, String server) implements AdmissionAction {}

  /**
   * Tell the caller that the request was not run.
   *
   * @param ticket the ticket
   * @param reason why
   * @param retryAfter when to come back, spread so that callers don't come back together
   */
  record Refuse(Ticket ticket, NotRunReason reason, Duration retryAfter)
      implements AdmissionAction {}
}
