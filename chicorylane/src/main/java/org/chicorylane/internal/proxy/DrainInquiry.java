package org.chicorylane.internal.proxy;

import java.time.Duration;
import java.util.List;
import java.util.function.Function;
import java.util.function.Supplier;
import org.chicorylane.internal.mesh.PeerLink;
import org.chicorylane.internal.mesh.generated.MeshQuestion;
import org.chicorylane.internal.runtime.Scheduler;
import org.chicorylane.internal.topology.BackendServer;
import org.chicorylane.internal.topology.PeerInstance;
import org.chicorylane.internal.topology.ServerDirectory;

/**
 * Asks the other instances since when a server has been draining, on behalf of a home that has not
 * seen the beginning, such as after a restart.
 *
 * <p>Confined to the instance's thread.
 */
final class DrainInquiry {

  private static final Duration INTERVAL = Duration.ofMillis(500);

  private final Scheduler scheduler;
  private final ServerDirectory servers;
  private final Supplier<List<PeerInstance>> peers;
  private final Function<String, PeerLink> links;
  private final String selfName;
  private long lastNanos;

  /**
   * Creates an inquiry.
   *
   * @param servers asked for draining servers, and told what the other instances know
   * @param peers returns the known instances, which may include this one
   * @param links returns the link to an address
   * @param selfName this instance's name
   */
  DrainInquiry(
      Scheduler scheduler,
      ServerDirectory servers,
      Supplier<List<PeerInstance>> peers,
      Function<String, PeerLink> links,
      String selfName) {
    this.scheduler = scheduler;
    this.servers = servers;
    this.peers = peers;
    this.links = links;
    this.selfName = selfName;
    this.lastNanos = scheduler.nanoTime() - INTERVAL.toNanos();
  }

  /**
   * Asks about the servers of the groups that may take no new work as far as this instance knows.
   * Does nothing if the last inquiry was a short time ago.
   */
  void ask(List<String> groups) {
    long now = scheduler.nanoTime();
    List<BackendServer> drained =
        groups.stream().flatMap(group -> servers.drainedServers(group).stream()).toList();
    if (drained.isEmpty() || now - lastNanos < INTERVAL.toNanos()) {
      return;
    }
    lastNanos = now;
    for (PeerInstance peer : peers.get()) {
      if (!peer.name().equals(selfName)) {
        drained.forEach(s -> ask(peer, s, now));
      }
    }
  }

  private void ask(PeerInstance peer, BackendServer server, long askedNanos) {
    links
        .apply(peer.address())
        .ask(
            MeshQuestion.newBuilder()
                .setKind(PeerQuestion.NUMBERS.number(PeerQuestion.DRAIN_AGE))
                .setGroup(server.group())
                .setServerId(server.id()),
            INTERVAL,
            (reply, sent) -> {
              if (reply != null && reply.getYes()) {
                servers.learnDrainStart(server.id(), askedNanos - reply.getRevision());
              }
            });
  }
}
