package org.chicorylane.internal.dissemination;

/** What the caller of {@link RevisionStateMachine} has to do. */
public sealed interface RevisionAction {

  /** Read the newest revision from the store and report it or the failure. */
  record CheckStore() implements RevisionAction {}

  /** Read all documents from the store and report them or the failure. */
  record ReadStore() implements RevisionAction {}

  /**
   * Ask a peer for its snapshot, if possible one that has {@code wanted}, and report the result.
   */
  record PullFromPeer(long wanted) implements RevisionAction {}

  /** Watch the store from {@code fromRevision} on and report changes and the loss of history. */
  record OpenWatch(long fromRevision) implements RevisionAction {}

  /** End the watch. */
  record CloseWatch() implements RevisionAction {}

  /** Put {@code snapshot} in force. */
  record Install(DeclarationSnapshot snapshot) implements RevisionAction {}
}
