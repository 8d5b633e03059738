package org.chicorylane.internal.caller;

import java.util.Optional;
import org.chicorylane.internal.relay.GroupRequest;
import org.chicorylane.internal.session.SessionToken;

/** What reading a request to a database group came to. */
sealed interface GroupCall {

  /**
   * The request may be submitted.
   *
   * @param request the checked request
   * @param token the caller's session token, if it sent one
   * @param preferredSeconds the {@code Prefer: wait} that was heeded, if any
   */
  record Accepted(
      GroupRequest request, Optional<SessionToken> token, Optional<Long> preferredSeconds)
      implements GroupCall {}

  /** The request is wrong. */
  record Rejected(Problem problem) implements GroupCall {}
}
