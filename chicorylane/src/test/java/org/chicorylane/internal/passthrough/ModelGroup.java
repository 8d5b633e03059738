package org.chicorylane.internal.passthrough;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.runtime.Scheduler;
import org.chicorylane.internal.topology.BackendServer;

/**
 * A simulated database group of three servers on virtual time. One replica must confirm each
 * commit.
 */
public final class ModelGroup implements ServerConnector {

  /** Receives each statement that a server runs. */
  public interface RunListener {
    /** A server runs a statement on a connection. */
    void onRun(
        ModelServer server,
        Object connection,
        String requestId,
        Map<String, String> values,
        TransactionState state);
  }

  /** Receives each statement that reaches a server and is not run within an open transaction. */
  public interface ArrivalListener {
    /**
     * A single statement, or the first one of a transaction, has reached a server.
     *
     * @param sender the listener with which the connection was opened
     */
    void onArrival(ModelServer server, String requestId, ServerConnector.Listener sender);
  }

  private static final Duration CONTACT_INTERVAL = Duration.ofMillis(50);

  /** Checks in a row in which an old primary reaches the new one before it becomes a replica. */
  private static final int DEMOTION_CHECKS = 20;

  /** Milliseconds of virtual time at which a {@code VirtualScheduler} starts. */
  private static final long START_MILLIS = 3_600_000;

  private final Scheduler scheduler;
  private final String name;
  private final Map<String, ModelServer> servers = new LinkedHashMap<>();
  private final Map<String, ModelServer> replaced = new HashMap<>();

  /** Commits whose success a client has received, with the time in milliseconds. */
  private final Map<String, Long> acknowledged = new LinkedHashMap<>();

  /** Acknowledged commits that a promotion has lost. */
  public final List<String> violations = new ArrayList<>();

  private Duration oneWay = Duration.ofMillis(1);
  public Duration handshake = Duration.ofMillis(12);
  public int opened;
  public RunListener listener = (server, connection, requestId, values, state) -> {};
  public ArrivalListener arrivalListener = (server, requestId, sender) -> {};

  /** Creates a group whose first server is the primary of term 1. */
  public ModelGroup(Scheduler scheduler, String name, int slots) {
    this(scheduler, name, slots, "server-");
  }

  /** Creates a group whose servers' ids begin with {@code idPrefix}. */
  public ModelGroup(Scheduler scheduler, String name, int slots, String idPrefix) {
    this.scheduler = scheduler;
    this.name = name;
    for (String zone : List.of("a", "b", "c")) {
      ModelServer server =
          new ModelServer(this, scheduler, idPrefix + zone, idPrefix + zone + ":1", slots);
      servers.put(server.id, server);
    }
    server(idPrefix + "a").primary = true;
    scheduler.repeat(CONTACT_INTERVAL, this::checkContacts);
  }

  /** Returns a server by its id, null if there is none. */
  public ModelServer server(String id) {
    return servers.get(id);
  }

  /** Returns the store entries of all servers. */
  public List<BackendServer> entries() {
    return servers.values().stream().map(s -> entry(s.id, false)).toList();
  }

  /** Returns the store entry of a server, also of one that was replaced. */
  public BackendServer entry(String id, boolean draining) {
    ModelServer s = servers.getOrDefault(id, replaced.get(id));
    return new BackendServer(id, name, s.address, "zone-" + id, 3, draining, s.primary, 1);
  }

  /**
   * Makes a server the primary of the next term, with the log that it has now. The replicas that it
   * reaches are rolled back to that log and receive again. Records a violation for each
   * acknowledged commit that the log lacks.
   */
  public void promote(String id) {
    long next = term() + 1;
    ModelServer promoted = server(id);
    checkHoldsAcknowledged(promoted, next);
    promoted.lead(next);
    for (ModelServer s : servers.values()) {
      if (s != promoted && !s.primary && s.running && follows(s, promoted)) {
        s.becomeReplica(next);
      }
    }
  }

  private void checkHoldsAcknowledged(ModelServer promoted, long newTerm) {
    Set<String> held = requestIds(promoted);
    for (String commit : List.copyOf(acknowledged.keySet())) {
      if (!held.contains(commit)) {
        violations.add(
            "promote of "
                + promoted.id
                + " (term "
                + newTerm
                + ", log "
                + promoted.received()
                + ") lacks commit "
                + commit
                + " acknowledged at "
                + acknowledged.remove(commit)
                + ", which is in the logs of "
                + holdersOf(commit));
      }
    }
  }

  /**
   * Records that a client received the success of a commit. Records a violation if the log of the
   * latest term's primary lacks it.
   */
  public void recordAcknowledged(String commit) {
    ModelServer leader = primary();
    if (requestIds(leader).contains(commit)) {
      acknowledged.put(commit, millis());
    } else {
      violations.add(
          "promote of "
              + leader.id
              + " (term "
              + leader.term
              + ") lacks commit "
              + commit
              + " acknowledged at "
              + millis()
              + ", after the promotion took effect");
    }
  }

  private static Set<String> requestIds(ModelServer server) {
    Set<String> ids = new HashSet<>();
    server.log.forEach(e -> ids.add(e.requestId()));
    return ids;
  }

  private List<String> holdersOf(String commit) {
    return servers.values().stream()
        .filter(s -> requestIds(s).contains(commit))
        .map(ModelServer::id)
        .toList();
  }

  /** Returns the milliseconds since the scheduler's start. */
  private long millis() {
    return scheduler.millis() - START_MILLIS;
  }

  /** Ends a server and starts a new one with its log, role and address. */
  public void replace(String id, String newId) {
    ModelServer old = server(id);
    ModelServer next = old.successor(newId);
    old.crash();
    replaced.put(id, servers.remove(id));
    servers.put(newId, next);
  }

  /** Returns the primary of the latest term. */
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

  /** Rolls a replica back to the log of its term's primary if it reaches that primary. */
  void copyFromPrimary(ModelServer replica) {
    for (ModelServer p : servers.values()) {
      if (p.primary && p.running && p.term == replica.term && areConnected(p, replica)) {
        catchUp(p, replica, p.received());
        replica.applied = replica.received();
      }
    }
  }

  /** Replicates a new entry; {@code confirmed} runs once a replica has received it. */
  void replicate(ModelServer from, ModelServer.LogEntry entry, Runnable confirmed) {
    from.unconfirmed.add(new ModelServer.Unconfirmed(entry.position(), confirmed));
    servers.values().forEach(s -> sendLog(from, s));
  }

  /** Sends a server the log of its term's primary, as after the server was stopped. */
  void sendLogTo(ModelServer to) {
    servers.values().stream().filter(p -> p.primary).forEach(p -> sendLog(p, to));
  }

  private void sendLog(ModelServer from, ModelServer to) {
    if (!receives(from, to)) {
      return;
    }
    LogPosition end = from.received();
    scheduler.schedule(
        oneWay,
        () -> {
          if (!receives(from, to)) {
            return;
          }
          catchUp(from, to, end);
          scheduler.schedule(to.lag, () -> to.apply(end));
          from.confirm(to.received());
        });
  }

  private static boolean receives(ModelServer from, ModelServer to) {
    return from != to
        && from.running
        && from.primary
        && to.running
        && !to.primary
        && !to.ignoresReplication
        && to.sealedTerm == 0
        && to.term == from.term
        && areConnected(from, to);
  }

  /** Returns whether a replica learns of the term of a primary and takes over its log. */
  private static boolean follows(ModelServer replica, ModelServer leader) {
    return areConnected(replica, leader) && !replica.ignoresReplication;
  }

  private static boolean areConnected(ModelServer a, ModelServer b) {
    return !a.isolatedFromServers && !b.isolatedFromServers;
  }

  /** Makes the log of {@code to} the log of {@code from} up to a position. */
  private static void catchUp(ModelServer from, ModelServer to, LogPosition upTo) {
    int common = commonLength(from.log, to.log);
    to.log.subList(common, to.log.size()).clear();
    for (ModelServer.LogEntry e : from.log.subList(common, from.log.size())) {
      if (e.position().compareTo(upTo) <= 0) {
        to.log.add(e);
      }
    }
  }

  private static int commonLength(List<ModelServer.LogEntry> a, List<ModelServer.LogEntry> b) {
    int length = Math.min(a.size(), b.size());
    while (length > 0 && !a.get(length - 1).equals(b.get(length - 1))) {
      length--;
    }
    return length;
  }

  /**
   * Sends the log to replicas that lag, and lets servers learn of a later term: replicas at once,
   * an old primary when it has reached the new one for a while.
   */
  private void checkContacts() {
    ModelServer leader = primary();
    for (ModelServer s : servers.values()) {
      if (!s.running) {
        continue;
      }
      boolean reachesLater = s.term < leader.term && leader.running && areConnected(leader, s);
      s.contactChecks = reachesLater ? s.contactChecks + 1 : 0;
      boolean follows = !s.primary && s.sealedTerm <= leader.term && follows(s, leader);
      if (reachesLater && (follows || (s.primary && s.contactChecks > DEMOTION_CHECKS))) {
        s.becomeReplica(leader.term);
      }
      sendLogTo(s);
    }
  }

  @Override
  public void connect(Target target, Listener connectListener) {
    ModelServer server = server(target.serverId());
    scheduler.schedule(
        oneWay.plus(oneWay),
        () -> {
          if (server == null && runsAt(target.address())) {
            connectListener.onFailure(ConnectFailure.REJECTED, "another server");
          } else if (server == null || !server.running) {
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

  private boolean runsAt(String address) {
    return servers.values().stream().anyMatch(s -> s.running && s.address.equals(address));
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
