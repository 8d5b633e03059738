package org.chicorylane.internal.election;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.chicorylane.internal.passthrough.ServerStatus;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.topology.BackendServer;

/** Three servers with their logs, and the commits that callers were told of. */
final class SmallGroup {

  /** A commit in a log. */
  record Entry(LogPosition position, int commit) {}

  /** One server. Its log outlives a crash, unless the server starts again empty. */
  static final class Server {
    final String id;
    final List<Entry> log = new ArrayList<>();
    long term = 1;
    long sealedTerm;
    boolean primary;
    boolean runs = true;

    /** Whether the server receives nothing from the others. */
    boolean deaf;

    /** Whether the home cannot reach the server. */
    boolean silent;

    private Server(String id) {
      this.id = id;
    }

    LogPosition end() {
      return log.isEmpty() ? LogPosition.ZERO : log.get(log.size() - 1).position();
    }

    boolean reports() {
      return runs && !silent;
    }

    ServerStatus status() {
      return new ServerStatus(primary, term, end(), sealedTerm, 0);
    }

    void seal(long atTerm) {
      if (!primary && atTerm > term) {
        sealedTerm = atTerm;
      }
    }

    void stepDown(long laterTerm) {
      if (primary && laterTerm > term) {
        primary = false;
      }
    }

    Set<Integer> commits() {
      Set<Integer> commits = new HashSet<>();
      log.forEach(e -> commits.add(e.commit()));
      return commits;
    }
  }

  private final Map<String, Server> servers = new LinkedHashMap<>();
  private final Set<Integer> acknowledged = new HashSet<>();
  private int commits;
  private String leaderId = "a";

  SmallGroup() {
    List.of("a", "b", "c").forEach(id -> servers.put(id, new Server(id)));
    server("a").primary = true;
  }

  Server server(String id) {
    return servers.get(id);
  }

  List<Server> servers() {
    return List.copyOf(servers.values());
  }

  List<BackendServer> entries() {
    return servers().stream()
        .map(s -> new BackendServer(s.id, "plans", s.id + ":1", "z", 3, false, s.primary, 1))
        .toList();
  }

  /** Returns the server that was promoted last. */
  Server leader() {
    return server(leaderId);
  }

  /** Appends a commit at a primary, and returns whether a replica has confirmed it. */
  boolean commit(Server primary) {
    long offset = primary.end().offset() + 1;
    primary.log.add(new Entry(new LogPosition(primary.term, offset), ++commits));
    return servers().stream().filter(s -> receives(s, primary)).peek(s -> copy(primary, s)).count()
        > 0;
  }

  /** Records that a caller was told of the last commit. */
  void acknowledge() {
    acknowledged.add(commits);
  }

  /** Returns the acknowledged commits that a server's log lacks. */
  Set<Integer> lackedBy(Server s) {
    Set<Integer> lacked = new HashSet<>(acknowledged);
    lacked.removeAll(s.commits());
    return lacked;
  }

  /** Lets replicas follow the leader, and receive its log. */
  void replicate() {
    Server leader = leader();
    for (Server s : servers()) {
      boolean learnsTerm = s != leader && s.runs && !s.deaf && !s.primary && s.term < leader.term;
      if (leader.runs && leader.primary && learnsTerm) {
        s.term = leader.term;
        s.sealedTerm = 0;
      }
      if (receives(s, leader)) {
        copy(leader, s);
      }
    }
  }

  /** Makes a server the primary of the next term with the log that it has. */
  void promote(Server s) {
    s.term = 1 + servers().stream().mapToLong(each -> each.term).max().orElse(0);
    s.primary = true;
    s.sealedTerm = 0;
    leaderId = s.id;
  }

  /** Starts a crashed server again; it follows if another one was promoted meanwhile. */
  void restart(Server s) {
    s.runs = true;
    s.sealedTerm = 0;
    s.primary = s.primary && s == leader();
  }

  private static boolean receives(Server s, Server from) {
    return s != from
        && from.runs
        && from.primary
        && s.runs
        && !s.deaf
        && !s.primary
        && s.sealedTerm == 0
        && s.term == from.term;
  }

  private static void copy(Server from, Server to) {
    to.log.clear();
    to.log.addAll(from.log);
  }
}
