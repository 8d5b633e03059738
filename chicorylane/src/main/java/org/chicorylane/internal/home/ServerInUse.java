package org.chicorylane.internal.home;

import java.util.HashSet;
import java.util.Set;
import org.chicorylane.internal.declaration.BackendServer;
import org.chicorylane.internal.failover.ServerRole;

/**
 * A backend server that the home uses, with its connection pool and the requests that run on it.
 *
 * <p>Used on the group's executor only.
 */
final class ServerInUse {
  private final BackendServer server;
  private final ServerConnectionPool pool;
  private final Set<PendingRequest> running = new HashSet<>();
  private ServerRole role;
  private boolean dropped;

  ServerInUse(BackendServer server, ServerConnectionPool pool, ServerRole role) {
    this.server = server;
    this.pool = pool;
    this.role = role;
  }

  String name() {
    return server.name();
  }

  BackendServer server() {
    return server;
  }

  ServerConnectionPool pool() {
    return pool;
  }

  ServerRole role() {
    return role;
  }

  void setRole(ServerRole newRole) {
    role = newRole;
  }

  /** Returns the requests that run on this server, as a modifiable set. */
  Set<PendingRequest> running() {
    return running;
  }

  boolean isDropped() {
    return dropped;
  }

  /** Marks the server as dropped: it gets no new requests, but those that run may end. */
  void markDropped() {
    dropped = true;
  }
}
