package org.chicorylane.internal.declaration;

import java.util.List;
import java.util.Optional;

/**
 * A declared database group: one primary and its replicas.
 *
 * @param name unique among groups
 * @param database the database name on its servers
 * @param user the database user
 * @param password the user's password; empty if the servers require none
 * @param initialPrimary the name of the server that is primary before any failover
 * @param servers its backend servers, at least one
 */
public record DatabaseGroup(
    String name,
    String database,
    String user,
    String password,
    String initialPrimary,
    List<BackendServer> servers)
    implements Spec {

  /** Copies the servers. */
  public DatabaseGroup {
    servers = List.copyOf(servers);
  }

  /** Returns the server of that name; empty if it is not declared. */
  public Optional<BackendServer> server(String serverName) {
    return servers.stream().filter(s -> s.name().equals(serverName)).findFirst();
  }

  /** Returns the number of servers that form a majority of the group. */
  public int majority() {
    return servers.size() / 2 + 1;
  }

  @Override
  public String toString() {
    return "DatabaseGroup[" + name + ", " + servers.size() + " servers]";
  }
}
