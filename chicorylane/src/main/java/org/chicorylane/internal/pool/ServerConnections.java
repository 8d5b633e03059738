package org.chicorylane.internal.pool;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.chicorylane.internal.passthrough.Answer;
import org.chicorylane.internal.passthrough.ServerConnector;
import org.chicorylane.internal.passthrough.ServerLink;
import org.chicorylane.internal.passthrough.TransactionState;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.runtime.Scheduler;
import org.jspecify.annotations.Nullable;

/**
 * The connections over which a pool's servers run statements: opens them before they are needed,
 * hands out idle ones, and closes those that cannot be used again.
 *
 * <p>Confined to the instance's thread.
 */
final class ServerConnections {

  /**
   * Connections to each server left free for status requests and for another home, whose pool
   * overlaps with this one while the home changes.
   */
  private static final int RESERVED_CONNECTIONS = 5;

  /** Connections to one server opened at the same time; each takes up a slot for a while. */
  private static final int MAX_CONCURRENT_OPENS = 3;

  /** Receives the events of all connections. */
  interface Listener {

    /** Called when a connection is ready for statements. */
    void onOpened();

    /** Called when a server's address refused a connection. */
    void onRefused(PoolServer server, String detail);

    /** Called after a connection was closed by the server or the network. */
    void onClosed(PooledConnection connection);
  }

  private final ServerConnector connector;
  private final Scheduler scheduler;
  private final Listener listener;
  private int maxPerServer = 16;
  private boolean closing;

  ServerConnections(ServerConnector connector, Scheduler scheduler, Listener listener) {
    this.connector = connector;
    this.scheduler = scheduler;
    this.listener = listener;
  }

  /** Sets how many connections a server accepts; some of them are left free. */
  void setServerLimit(int connectionsPerServer) {
    maxPerServer = Math.max(2, connectionsPerServer - RESERVED_CONNECTIONS);
  }

  /** Returns whether the account has an idle connection to the server; opens one ahead if not. */
  boolean hasIdle(PoolServer s, String account) {
    if (s.hasIdle(account)) {
      return true;
    }
    open(s, account);
    return false;
  }

  /**
   * Removes and returns the account's idle connection that is best prepared for {@code values}.
   * Returns null if none is idle, and opens one then.
   */
  @Nullable PooledConnection takeIdle(PoolServer s, String account, Map<String, String> values) {
    PooledConnection idle = s.takeIdle(account, values);
    if (idle == null) {
      open(s, account);
    }
    return idle;
  }

  /**
   * Opens a connection, unless the server has enough or cannot be used. A server with enough
   * connections gives up the idle one of another account that was used least recently.
   */
  private void open(PoolServer s, String account) {
    if (s.opening >= MAX_CONCURRENT_OPENS || s.unreachable || s.removed || closing) {
      return;
    }
    if (s.connections.size() + s.opening >= maxPerServer && !closeLeastRecentlyUsed(s, account)) {
      return;
    }
    s.opening++;
    String owner = account.isEmpty() ? null : account;
    connector.connect(s.target(owner), new OpenListener(s, account));
  }

  private boolean closeLeastRecentlyUsed(PoolServer s, String exceptAccount) {
    for (PooledConnection c : s.idle) {
      if (!c.account.equals(exceptAccount)) {
        close(c);
        return true;
      }
    }
    return false;
  }

  /**
   * Makes a connection idle. Closes it instead if it cannot be reused: the pool is shutting down, a
   * transaction is still open on it, or the server accepts no new work.
   *
   * @param last the last answer that came over the connection
   */
  void giveBack(PooledConnection c, Answer last) {
    if (c.closed) {
      return;
    }
    if (closing || last.state() != TransactionState.IDLE || !c.server.acceptsNewWork()) {
      close(c);
      return;
    }
    c.transaction = null;
    c.server.idle.addLast(c);
  }

  /** Closes a connection, unless it is closed. */
  void close(PooledConnection c) {
    if (!c.closed) {
      c.closed = true;
      c.server.connections.remove(c);
      c.server.idle.remove(c);
      c.link.close();
    }
  }

  /** Closes the idle connections of a server, and opens no more connections to any server. */
  void closeIdle(PoolServer s) {
    closing = true;
    new ArrayList<>(s.idle).forEach(this::close);
  }

  /** Closes all connections to a server, the control connection included, and returns them. */
  List<PooledConnection> closeAll(PoolServer s) {
    ServerLink control = s.control;
    s.control = null;
    s.statusPending = false;
    if (control != null) {
      control.close();
    }
    List<PooledConnection> closed = List.copyOf(s.connections);
    closed.forEach(this::close);
    return closed;
  }

  /** Opens no more connections; one that is being opened is closed. */
  void stop() {
    closing = true;
  }

  /** Handles the events of one connection. */
  private final class OpenListener implements ServerConnector.Listener {
    private final PoolServer server;
    private final String account;
    private @Nullable PooledConnection connection;

    OpenListener(PoolServer server, String account) {
      this.server = server;
      this.account = account;
    }

    @Override
    public void onOpen(ServerLink link, @Nullable LogPosition position) {
      server.opening--;
      if (closing || server.removed) {
        link.close();
        return;
      }
      connection = new PooledConnection(server, link, account);
      server.connections.add(connection);
      server.idle.addLast(connection);
      server.lastContactNanos = scheduler.nanoTime();
      server.updatePosition(position);
      listener.onOpened();
    }

    @Override
    public void onFailure(ServerConnector.ConnectFailure failure, String detail) {
      server.opening--;
      if (failure == ServerConnector.ConnectFailure.REFUSED) {
        listener.onRefused(server, detail);
      }
    }

    @Override
    public void onClosed() {
      if (connection != null) {
        close(connection);
        listener.onClosed(connection);
      }
    }
  }
}
