package org.chicorylane.internal.proxy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.chicorylane.internal.entry.ClientSession;
import org.chicorylane.internal.passthrough.Answer;
import org.chicorylane.internal.passthrough.ClientStatement;
import org.chicorylane.internal.passthrough.ModelServer;
import org.chicorylane.internal.passthrough.TransactionState;
import org.jspecify.annotations.Nullable;

/**
 * Clients of a simulated fleet. They record the guarantees that answers gave them, and check them
 * at each statement that a server runs and, at the end, against the log of the primary.
 */
final class ModelClients {

  private record AcknowledgedWrite(String requestId, long atMillis, String session) {}

  private record PendingRead(String database, String session, long startedMillis) {}

  private final ModelFleet fleet;
  private final Random random;
  private final List<AcknowledgedWrite> acknowledged = new ArrayList<>();
  private final Set<String> notRun = new HashSet<>();
  private final Set<String> transactionStatements = new HashSet<>();
  private final Map<String, PendingRead> pendingReads = new HashMap<>();
  final List<String> violations = new ArrayList<>();
  int succeeded;
  int refused;
  int uncertain;
  long lastWriteMillis;
  private int requests;
  private boolean stopped;

  ModelClients(ModelFleet fleet, Random random) {
    this.fleet = fleet;
    this.random = random;
    fleet.group.listener = (server, c, id, values, state) -> onStatementRun(server, id);
  }

  /** Starts {@code count} sessions, each of which runs operations one after the other. */
  void begin(int count) {
    for (int i = 0; i < count; i++) {
      Client client = new Client("s" + i, List.of("latest", "bounded", "own").get(i % 3));
      fleet.scheduler.schedule(Duration.ofMillis(random.nextInt(100)), client::runOperation);
    }
  }

  void stop() {
    stopped = true;
  }

  /** Sends one write over a new session at an instance, also after {@link #stop()}. */
  void writeOnce(ModelHost host) {
    String id = "w" + requests++;
    ClientSession session = host.openSession(ModelFleet.LATEST, () -> {});
    session.run(
        id,
        new ClientStatement.Write("WRITE item data"),
        answer -> {
          recordOutcome(id, answer, "session of " + id);
          host.instance.sessions().close(session);
        });
  }

  /**
   * Checks a statement that a server runs: a write in a transaction runs once, and a read sees
   * every acknowledged write that the freshness of its database requires.
   */
  private void onStatementRun(ModelServer server, String requestId) {
    if (requestId.startsWith("t") && !transactionStatements.add(requestId)) {
      violations.add("ran again within a transaction: " + requestId);
    }
    PendingRead pendingRead = pendingReads.get(requestId);
    if (pendingRead == null) {
      return;
    }
    Set<String> visible = server.visible();
    for (AcknowledgedWrite a : acknowledged) {
      boolean mustBeVisible =
          switch (pendingRead.database()) {
            case ModelFleet.LATEST -> a.atMillis() < pendingRead.startedMillis();
            case ModelFleet.OWN ->
                isOlderThanMaximumAge(a, pendingRead)
                    || (a.session().equals(pendingRead.session())
                        && a.atMillis() < pendingRead.startedMillis());
            default -> isOlderThanMaximumAge(a, pendingRead);
          };
      if (mustBeVisible && !visible.contains(a.requestId())) {
        violations.add(
            "stale: "
                + requestId
                + " on "
                + pendingRead.database()
                + " misses "
                + a.requestId()
                + " at "
                + (fleet.scheduler.millis() - 3_600_000));
        return;
      }
    }
  }

  private static boolean isOlderThanMaximumAge(AcknowledgedWrite a, PendingRead pendingRead) {
    return a.atMillis() < pendingRead.startedMillis() - ModelFleet.MAXIMUM_AGE_MILLIS;
  }

  /**
   * Checks the primary's log: no write is in it twice, none that was answered as not run, and every
   * acknowledged write.
   */
  void checkLog() {
    ModelServer primary = fleet.group.primary();
    Map<String, Integer> counts = new HashMap<>();
    primary.log().forEach(e -> counts.merge(e.requestId(), 1, Integer::sum));
    counts.forEach(
        (id, count) -> {
          if (count > 1) {
            violations.add("twice: " + id);
          }
          if (notRun.contains(id)) {
            violations.add("promised not to have run: " + id);
          }
        });
    for (AcknowledgedWrite a : acknowledged) {
      if (!counts.containsKey(a.requestId())) {
        violations.add("lost: " + a.requestId() + " acknowledged at " + a.atMillis());
      }
    }
  }

  private void recordOutcome(String id, Answer answer, String session) {
    count(answer);
    if (answer.succeeded()) {
      fleet.group.recordAcknowledged(id);
      acknowledged.add(new AcknowledgedWrite(id, fleet.scheduler.millis(), session));
      lastWriteMillis = fleet.scheduler.millis();
    } else if (answer.failure() != null && answer.failure().guaranteesNoEffect()) {
      notRun.add(id);
    }
  }

  private void count(Answer answer) {
    if (answer.succeeded()) {
      succeeded++;
    } else if (answer.failure() != null && answer.failure().guaranteesNoEffect()) {
      refused++;
    } else {
      uncertain++;
    }
  }

  /** A client that connects to another running instance when its connection is lost. */
  private final class Client {
    private final String name;
    private final String database;
    private @Nullable ModelHost host;
    private @Nullable ClientSession session;
    private int attempt;
    private int sessions;

    Client(String name, String database) {
      this.name = name;
      this.database = database;
    }

    void runOperation() {
      if (stopped) {
        return;
      }
      List<ModelHost> running = fleet.hosts().stream().filter(h -> h.running && !h.frozen).toList();
      if (host == null || !running.contains(host) || host.instance == null || session == null) {
        session = null;
        host = running.isEmpty() ? null : running.get(random.nextInt(running.size()));
        if (host != null && host.instance != null) {
          session = host.openSession(database, this::disconnect);
          sessions++;
        }
      }
      if (session == null) {
        scheduleNextOperation(100);
        return;
      }
      int kind = random.nextInt(10);
      if (kind < 6) {
        read(session);
      } else if (kind < 8) {
        write(session, "w" + requests++);
      } else {
        transaction(session);
      }
    }

    /** Returns the name of the current session, which ends with its connection. */
    private String sessionName() {
      return name + "-" + sessions;
    }

    private void disconnect() {
      if (host != null && host.instance != null && session != null) {
        host.instance.sessions().close(session);
      }
      session = null;
    }

    private void scheduleNextOperation(int millis) {
      fleet.scheduler.schedule(Duration.ofMillis(millis + random.nextInt(20)), this::runOperation);
    }

    /**
     * Runs a statement. If no answer arrives within 2.5 s, for example because the client's
     * instance was killed, the client disconnects and later starts its next operation.
     */
    private void run(
        ClientSession open,
        String id,
        ClientStatement statement,
        java.util.function.Consumer<Answer> onAnswer) {
      int ownAttempt = ++attempt;
      fleet.scheduler.schedule(
          Duration.ofMillis(2_500),
          () -> {
            if (ownAttempt == attempt) {
              attempt++;
              disconnect();
              scheduleNextOperation(50);
            }
          });
      open.run(
          id,
          statement,
          answer -> {
            if (ownAttempt == attempt) {
              attempt++;
              onAnswer.accept(answer);
            }
          });
    }

    private void read(ClientSession open) {
      String id = "r" + requests++;
      pendingReads.put(id, new PendingRead(database, sessionName(), fleet.scheduler.millis()));
      run(
          open,
          id,
          new ClientStatement.Read("READ item"),
          answer -> {
            count(answer);
            scheduleNextOperation(30);
          });
    }

    private void write(ClientSession open, String id) {
      run(
          open,
          id,
          new ClientStatement.Write("WRITE item data"),
          answer -> {
            recordOutcome(id, answer, sessionName());
            scheduleNextOperation(30);
          });
    }

    private void transaction(ClientSession open) {
      String write = "t" + requests++;
      String commit = "c" + requests++;
      run(
          open,
          "b" + requests++,
          new ClientStatement.Begin(false),
          begun ->
              run(
                  open,
                  write,
                  new ClientStatement.Write("WRITE item data"),
                  written -> {
                    if (written.state() != TransactionState.OPEN) {
                      count(written);
                      run(
                          open,
                          "x",
                          new ClientStatement.Rollback(),
                          done -> scheduleNextOperation(30));
                    } else {
                      run(
                          open,
                          commit,
                          new ClientStatement.Commit(),
                          answer -> {
                            recordOutcome(commit, answer, sessionName());
                            scheduleNextOperation(30);
                          });
                    }
                  }));
    }
  }
}
