package org.chicorylane.internal.admission;

import java.time.Duration;
import org.chicorylane.internal.outcome.NotRunReason;

/**
 * Action that a caller must perform for a ticket. Every ticket gets exactly one. Immutable and
 * thread-safe.
 */
public sealed interface AdmissionAction {

  /** Returns the ticket. */
  Ticket ticket();

  /**
   * Run the request on the server, then call {@link AdmissionQueue#releaseSlot}.
   *
   * @param ticket the ticket
   * @param server the name of the server whose slot the ticket holds
   */
  record Dispatch(Ticket ticket, String server) implements AdmissionAction {}

  /**
   * Report to the caller that the request was not run.
   *
   * @param ticket the ticket
   * @param reason why the request was not run
   * @param retryAfter the delay before a retry, with jitter so that callers don't retry together
   */
  record Refuse(Ticket ticket, NotRunReason reason, Duration retryAfter)
      implements AdmissionAction {}
}
