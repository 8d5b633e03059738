package org.chicorylane.internal.passthrough;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.runtime.Scheduler;
import org.chicorylane.internal.topology.BackendServer;

/** Three servers of one group in model time, with one replica that confirms each commit. */
public final class ModelGroup implements ServerConnector {

  /** Told of each statement that a server runs. */
  public interface RunListener {
    /** A server runs a statement on a connection. */
    void onRun(
        ModelServer server,
        Object connection,
        String requestId,
        Map<String, String> values,
        TransactionState state);
  }

  private final Scheduler scheduler;
  private final String name;
  private final Map<String, ModelServer> servers = new LinkedHashMap<>();
  private final Map<String, ModelServer> replaced = new HashMap<>();
  private Duration oneWay = Duration.ofMillis(1);
  public Duration handshake = Duration.ofMillis(12);
  public int opened;
  public RunListener listener = (server, connection, requestId, values, state) -> {};

  /** Creates a group whose first server is the primary of term 1. */
  public ModelGroup(Scheduler scheduler, String name, int slots) {
    this(scheduler, name, slots, "server-");
  }

  /** Creates a group whose servers' ids begin with {@code idPrefix}. */
  public ModelGroup(Scheduler scheduler, String name, int slots, String idPrefix) {
    this.scheduler = scheduler;
    this.name = name;
    for (String zone : List.of("a", "b", "c")) {
      ModelServer server = new ModelServer(this, scheduler, idPrefix + zone, slots);
      servers.put(server.id, server);
    }
    server(idPrefix + "a").primary = true;
  }

  /** Returns a server. */
  public ModelServer server(String id) {
    return servers.get(id);
  }

  /** Returns the entries of the servers. */
  public List<BackendServer> entries() {
    return servers.values().stream().map(s -> entry(s.id, false)).toList();
  }

  /** Returns a server's entry. */
  public BackendServer entry(String id, boolean draining) {
    ModelServer s = servers.getOrDefault(id, replaced.get(id));
    return new BackendServer(id, name, id + ":1", "zone-" + id, 3, draining, s.primary, 1);
  }

  /** Makes a server the primary of the next term. */
  public void promote(String id) {
    long next = term() + 1;
    ModelServer promoted = server(id);
    promoted.primary = true;
    promoted.term = next;
    promoted.sealedTerm = 0;
    promoted.log.add(
        new ModelServer.LogEntry(
            new LogPosition(next, promoted.received().offset() + 1), "term-" + next));
    for (ModelServer s : servers.values()) {
      if (s != promoted && !s.primary && s.running) {
        s.becomeReplica(next);
        s.sealedTerm = 0;
      }
    }
  }

  /** Ends a server; a new one with its log and its part goes on at its address. */
  public void replace(String id, String newId) {
    ModelServer old = server(id);
    ModelServer next = old.successor(newId);
    old.crash();
    replaced.put(id, servers.remove(id));
    servers.put(newId, next);
  }

  /** Returns the server that leads the latest term. */
  public ModelServer primary() {
    return servers.values().stream()
        .filter(s -> s.primary && s.term == term())
        .findFirst()
        .orElseThrow();
  }

  /** Returns the latest term. */
  public long term() {
    return servers.values().stream().mapToLong(s -> s.term).max().orElse(0);
  }

  Duration oneWay() {
    return oneWay;
  }

  void onRun(
      ModelServer server,
      Object connection,
      String requestId,
      Map<String, String> values,
      TransactionState state) {
    listener.onRun(server, connection, requestId, values, state);
  }

  void copyFromPrimary(ModelServer replica) {
    for (ModelServer p : servers.values()) {
      if (p.primary && p.term == replica.term && p != replica) {
        replica.log.clear();
        replica.log.addAll(p.log);
        replica.applied = replica.received();
      }
    }
  }

  void replicate(ModelServer from, ModelServer.LogEntry entry, Runnable confirmed) {
    List<Boolean> first = new ArrayList<>();
    for (ModelServer s : servers.values()) {
      if (s == from || s.primary || from.isolatedFromServers || s.isolatedFromServers) {
        continue;
      }
      scheduler.schedule(
          oneWay,
          () -> {
            boolean receives =
                s.running
                    && !s.ignoresReplication
                    && !s.primary
                    && s.sealedTerm == 0
                    && s.term == from.term;
            if (!receives || !from.running) {
              return;
            }
            catchUp(from, s, entry);
            scheduler.schedule(s.lag, () -> s.apply(entry.position()));
            if (first.isEmpty()) {
              first.add(true);
              confirmed.run();
            }
          });
    }
  }

  private static void catchUp(ModelServer from, ModelServer to, ModelServer.LogEntry upTo) {
    for (ModelServer.LogEntry e : from.log) {
      if (e.position().compareTo(to.received()) > 0
          && e.position().compareTo(upTo.position()) <= 0) {
        to.log.add(e);
      }
    }
  }

  @Override
  public void connect(Target target, Listener connectListener) {
    ModelServer server = server(target.serverId());
    scheduler.schedule(
        oneWay.plus(oneWay),
        () -> {
          if (server == null || !server.running) {
            connectListener.onFailure(ConnectFailure.REFUSED, "connection refused");
          } else if (server.unresponsive) {
            scheduler.schedule(
                Duration.ofMillis(350),
                () -> connectListener.onFailure(ConnectFailure.SILENT, "no connection"));
          } else {
            scheduler.schedule(handshake, () -> open(server, connectListener));
          }
        });
  }

  private void open(ModelServer server, Listener connectListener) {
    if (!server.running) {
      connectListener.onFailure(ConnectFailure.REFUSED, "connection refused");
      return;
    }
    opened++;
    connectListener.onOpen(server.new Connection(connectListener), server.received());
  }
}
