package org.chicorylane.internal.caller;

import java.util.Optional;
import org.chicorylane.internal.relay.GroupRequest;
import org.chicorylane.internal.session.SessionToken;

/** Result of reading and validating a request to a database group. */
sealed interface GroupCall {

  /**
   * A valid request that can be submitted.
   *
   * @param request the validated request
   * @param token the session token of the caller; empty if it sent none
   * @param preferredSeconds the seconds of {@code Prefer: wait} that the deadline was derived from;
   *     empty if it was not derived from this header field
   */
  record Accepted(
      GroupRequest request, Optional<SessionToken> token, Optional<Long> preferredSeconds)
      implements GroupCall {}

  /** An invalid request. */
  record Rejected(Problem problem) implements GroupCall {}
}
