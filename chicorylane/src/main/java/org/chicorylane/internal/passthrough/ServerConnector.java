package org.chicorylane.internal.passthrough;

import org.chicorylane.internal.position.LogPosition;
import org.jspecify.annotations.Nullable;

/** Opens connections to backend servers. */
public interface ServerConnector {

  /**
   * Opens a connection to the named server. Fails if another server runs at its address.
   *
   * @param target the server and its address
   * @param listener called once with the outcome, and once when an open connection ends
   */
  void connect(Target target, Listener listener);

  /**
   * A server to connect to.
   *
   * @param group the server's database group
   * @param serverId the id that the server must have
   * @param address host and port
   * @param account the client account whose statements the connection runs; null for a connection
   *     that runs none, and where no accounts are declared
   */
  record Target(String group, String serverId, String address, @Nullable String account) {

    /** Creates a target for a connection that belongs to no client account. */
    public Target(String group, String serverId, String address) {
      this(group, serverId, address, null);
    }
  }

  /** Why a connection could not be opened. */
  enum ConnectFailure {
    /** The connection was refused, by the server's host or by a partition on the way. */
    REFUSED,
    /** The server did not answer in time. */
    SILENT,
    /** Another server runs at the address, or the server rejected the connection. */
    REJECTED
  }

  /** Receives the events of one connection. */
  interface Listener {
    /** The connection is open; {@code position} is the server's log position, null if unknown. */
    void onOpen(ServerLink link, @Nullable LogPosition position);

    /** The connection could not be opened. */
    void onFailure(ConnectFailure failure, String detail);

    /**
     * An open connection was closed by either side. Called after {@link
     * ServerLink.AnswerHandler#onLost} of all commands without an answer.
     */
    void onClosed();

    /** The server sent something that is not the answer to the command under way. */
    default void onUnexpected(UnexpectedAnswer answer) {}
  }
}
