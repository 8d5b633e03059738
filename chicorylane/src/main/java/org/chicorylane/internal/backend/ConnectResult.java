package org.chicorylane.internal.backend;

/** The result of an attempt to open a connection. */
public sealed interface ConnectResult {

  /** The connection is open. */
  record Opened(ServerConnection connection) implements ConnectResult {}

  /**
   * The connection could not be opened.
   *
   * @param reason the reason, for logs and messages
   */
  record Failed(String reason) implements ConnectResult {}
}
