package org.chicorylane.internal.home;

import java.util.HashSet;
import java.util.Set;
import org.chicorylane.internal.declaration.BackendServer;
import org.chicorylane.internal.failover.ServerRole;

/** A backend server that the home uses, with what runs there. On the group's executor only. */
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

  Set<PendingRequest> running() {
    return running;
  }

  boolean isDropped() {
    return dropped;
  }

  void markDropped() {
    dropped = true;
  }
}
