package org.chicorylane.internal.dissemination;

/** An action that {@link RevisionStateMachine} asks its caller to perform. */
public sealed interface RevisionAction {

  /** Reads the newest revision from the store and reports it or the failure. */
  record CheckStore() implements RevisionAction {}

  /** Reads all documents from the store and reports them or the failure. */
  record ReadStore() implements RevisionAction {}

  /**
   * Asks a peer for its snapshot and reports the result or the failure. A peer that has at least
   * {@code wantedRevision} is preferred.
   */
  record PullFromPeer(long wantedRevision) implements RevisionAction {}

  /** Watches the store from {@code fromRevision} and reports changes and the loss of history. */
  record OpenWatch(long fromRevision) implements RevisionAction {}

  /** Closes the watch. */
  record CloseWatch() implements RevisionAction {}

  /** Puts {@code snapshot} in force. */
  record Install(DeclarationSnapshot snapshot) implements RevisionAction {}
}
