package org.chicorylane.internal.entry;

import org.chicorylane.internal.passthrough.FailureCode;

/** The outcome of a client's request for a session. */
public sealed interface OpenResult {

  /**
   * The session is open.
   *
   * @param session the session
   */
  record Opened(ClientSession session) implements OpenResult {}

  /**
   * No session was opened.
   *
   * @param code the reason
   * @param text the reason in words, for the client
   */
  record Refused(FailureCode code, String text) implements OpenResult {}
}
