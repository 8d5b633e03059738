package org.chicorylane.internal.proxy;

import org.chicorylane.internal.passthrough.ModelServer;

/**
 * A network partition with one instance and one server on one side, and the other instances, the
 * other servers and the store on the other side.
 */
final class Partition {

  private final ModelFleet fleet;
  private final ModelHost host;
  private final ModelServer server;

  private Partition(ModelFleet fleet, ModelHost host, ModelServer server) {
    this.fleet = fleet;
    this.host = host;
    this.server = server;
  }

  static Partition begin(ModelFleet fleet, ModelHost host, ModelServer server) {
    final Partition partition = new Partition(fleet, host, server);
    host.storeUnreachable = true;
    server.isolatedFromServers = true;
    for (String id : ModelFleet.SERVERS) {
      if (!id.equals(server.id())) {
        host.unreachableServers.add(id);
      }
    }
    for (ModelHost other : fleet.hosts()) {
      if (other != host) {
        host.unreachableHosts.add(other.name);
        other.unreachableServers.add(server.id());
      }
    }
    return partition;
  }

  void end() {
    host.storeUnreachable = false;
    server.isolatedFromServers = false;
    host.unreachableServers.clear();
    host.unreachableHosts.clear();
    fleet.hosts().forEach(h -> h.unreachableServers.remove(server.id()));
  }
}
