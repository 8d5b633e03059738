package org.chicorylane.internal.proxy;

import org.chicorylane.internal.passthrough.ModelServer;

/** A partition with one instance and one server on one side, all else on the other. */
final class Split {

  private final ModelFleet fleet;
  private final ModelHost host;
  private final ModelServer server;

  private Split(ModelFleet fleet, ModelHost host, ModelServer server) {
    this.fleet = fleet;
    this.host = host;
    this.server = server;
  }

  static Split begin(ModelFleet fleet, ModelHost host, ModelServer server) {
    final Split split = new Split(fleet, host, server);
    host.storeAway = true;
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
    return split;
  }

  void end() {
    host.storeAway = false;
    server.isolatedFromServers = false;
    host.unreachableServers.clear();
    host.unreachableHosts.clear();
    fleet.hosts().forEach(h -> h.unreachableServers.remove(server.id()));
  }
}
