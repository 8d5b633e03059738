package org.chicorylane.internal.passthrough;

import org.chicorylane.internal.position.LogPosition;
import org.jspecify.annotations.Nullable;

/** Opens connections to backend servers. */
public interface ServerConnector {

  /**
   * Opens a connection to the server that is named, and to no other at its address.
   *
   * @param target where and which server
   * @param listener told once of the outcome, and of the end of an open connection
   */
  void connect(Target target, Listener listener);

  /**
   * A server to connect to.
   *
   * @param group the database group
   * @param serverId the server's id
   * @param address host and port
   */
  record Target(String group, String serverId, String address) {}

  /** Why no connection came about. */
  enum ConnectFailure {
    /** Nobody listens: the server's process is not running. */
    REFUSED,
    /** No answer in time. */
    SILENT,
    /** The server is another one, or it turned the connection away. */
    REJECTED
  }

  /** Follows one connection. */
  interface Listener {
    /** The connection is open. */
    void onOpen(ServerLink link, @Nullable LogPosition position);

    /** There is no connection. */
    void onFailure(ConnectFailure failure, String detail);

    /** An open connection ended, by whichever side; called after all lost answers. */
    void onClosed();
  }
}
