package org.chicorylane.internal.home;

import io.netty.util.concurrent.EventExecutor;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.chicorylane.internal.backend.ConnectResult;
import org.chicorylane.internal.backend.ConnectionPurpose;
import org.chicorylane.internal.backend.ServerConnection;
import org.chicorylane.internal.backend.ServerConnector;
import org.chicorylane.internal.declaration.BackendServer;
import org.chicorylane.internal.declaration.DatabaseGroup;

/**
 * The connection pool of one backend server, for connections that run requests.
 *
 * <p>Never holds more than the server's declared connections minus {@link #RESERVED_CONNECTIONS}.
 * Runs on the group's executor only.
 */
final class ServerConnectionPool {
  /** Connections to a server that stay free for control connections and probes of all instances. */
  static final int RESERVED_CONNECTIONS = 4;

  private final ServerConnector connector;
  private final EventExecutor executor;
  private final DatabaseGroup group;
  private final BackendServer server;
  private final String serverStart;
  private final Deque<ServerConnection> idle = new ArrayDeque<>();
  private final Set<ServerConnection> inUse = new HashSet<>();
  private int openingCount;
  private boolean closed;

  ServerConnectionPool(
      ServerConnector connector,
      EventExecutor executor,
      DatabaseGroup group,
      BackendServer server,
      String serverStart) {
    this.connector = connector;
    this.executor = executor;
    this.group = group;
    this.server = server;
    this.serverStart = serverStart;
  }

  /** Returns the executor that this pool runs on. */
  EventExecutor executor() {
    return executor;
  }

  /** Opens connections in advance, so that the pool has at least one per slot of the server. */
  void openAhead() {
    for (int i = idle.size() + inUse.size() + openingCount; i < server.slots(); i++) {
      open().thenAcceptAsync(this::addIdle, executor);
    }
  }

  /** Returns how many connections can be acquired now. */
  int available() {
    return idle.size() + Math.max(0, maxConnections() - idle.size() - inUse.size() - openingCount);
  }

  /** Acquires an idle connection or opens one; completes on the group's executor. */
  CompletableFuture<ConnectResult> acquire() {
    while (!idle.isEmpty()) {
      ServerConnection connection = idle.pop();
      if (connection.isOpen()) {
        inUse.add(connection);
        return CompletableFuture.completedFuture(new ConnectResult.Opened(connection));
      }
    }
    if (closed || inUse.size() + openingCount >= maxConnections()) {
      return CompletableFuture.completedFuture(
          new ConnectResult.Failed("every connection to \"" + server.name() + "\" is in use"));
    }
    return open()
        .thenApplyAsync(
            r -> {
              if (r instanceof ConnectResult.Opened o) {
                inUse.add(o.connection());
              }
              return r;
            },
            executor);
  }

  /**
   * Returns a connection to the pool; no statement may be running and no transaction open on it.
   */
  void release(ServerConnection connection) {
    inUse.remove(connection);
    if (closed || !connection.isOpen()) {
      connection.close();
      return;
    }
    idle.push(connection);
  }

  /** Closes a connection whose state is not known. */
  void discard(ServerConnection connection) {
    inUse.remove(connection);
    connection.close();
  }

  /** Closes idle connections now, and those in use when they are released. */
  void closeWhenIdle() {
    closed = true;
    idle.forEach(ServerConnection::close);
    idle.clear();
  }

  /** Closes every connection now. */
  void closeNow() {
    closeWhenIdle();
    inUse.forEach(ServerConnection::close);
    inUse.clear();
  }

  /** Returns how many connections are in use. */
  int inUse() {
    return inUse.size();
  }

  private int maxConnections() {
    return server.connections() - RESERVED_CONNECTIONS;
  }

  private CompletableFuture<ConnectResult> open() {
    openingCount++;
    return connector
        .open(group, server, ConnectionPurpose.WORK.applicationName())
        .thenApplyAsync(
            r -> {
              openingCount--;
              return rejectIfRestarted(r);
            },
            executor);
  }

  /**
   * Rejects a connection to a server process other than the one that this pool was made for: the
   * server's known position is valid only for the process that it was read from.
   */
  private ConnectResult rejectIfRestarted(ConnectResult result) {
    if (!(result instanceof ConnectResult.Opened o)
        || o.connection().serverStart().equals(serverStart)) {
      return result;
    }
    o.connection().close();
    return new ConnectResult.Failed("server \"" + server.name() + "\" has restarted");
  }

  private void addIdle(ConnectResult result) {
    if (!(result instanceof ConnectResult.Opened opened)) {
      return;
    }
    if (closed) {
      opened.connection().close();
      return;
    }
    idle.push(opened.connection());
  }
}
