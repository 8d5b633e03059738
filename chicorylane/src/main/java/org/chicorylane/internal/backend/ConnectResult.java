package org.chicorylane.internal.backend;

/** What became of an attempt to open a connection. */
public sealed interface ConnectResult {

  /** The connection is open. */
  record Opened(ServerConnection connection) implements ConnectResult {}

  /**
   * The connection could not be opened.
   *
   * @param reason why, for people
   */
  record Failed(String reason) implements ConnectResult {}
}
