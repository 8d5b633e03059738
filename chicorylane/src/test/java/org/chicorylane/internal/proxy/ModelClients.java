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
 * Clients of a model fleet that remember what they were promised, and check each statement that a
 * server runs and the logs at the end.
 */
final class ModelClients {

  private record Acknowledged(String requestId, long atMillis, String session) {}

  private record Reading(String database, String session, long begunMillis) {}

  private final ModelFleet fleet;
  private final Random random;
  private final List<Acknowledged> acknowledged = new ArrayList<>();
  private final Set<String> notRun = new HashSet<>();
  private final Set<String> transactionStatements = new HashSet<>();
  private final Map<String, Reading> readings = new HashMap<>();
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
    fleet.group.listener = (server, c, id, values, state) -> onRun(server, id);
  }

  /** Lets {@code count} sessions run operations one after the other. */
  void begin(int count) {
    for (int i = 0; i < count; i++) {
      Client client = new Client("s" + i, List.of("latest", "bounded", "own").get(i % 3));
      fleet.scheduler.schedule(Duration.ofMillis(random.nextInt(100)), client::operate);
    }
  }

  void stop() {
    stopped = true;
  }

  private void onRun(ModelServer server, String requestId) {
    if (requestId.startsWith("t") && !transactionStatements.add(requestId)) {
      violations.add("ran again within a transaction: " + requestId);
    }
    Reading reading = readings.get(requestId);
    if (reading == null) {
      return;
    }
    Set<String> visible = server.visible();
    for (Acknowledged a : acknowledged) {
      boolean owed =
          switch (reading.database()) {
            case ModelFleet.LATEST -> a.atMillis() < reading.begunMillis();
            case ModelFleet.OWN ->
                isOld(a, reading)
                    || (a.session().equals(reading.session())
                        && a.atMillis() < reading.begunMillis());
            default -> isOld(a, reading);
          };
      if (owed && !visible.contains(a.requestId())) {
        violations.add(
            "stale: "
                + requestId
                + " on "
                + reading.database()
                + " misses "
                + a.requestId()
                + " at "
                + (fleet.scheduler.millis() - 3_600_000));
        return;
      }
    }
  }

  private static boolean isOld(Acknowledged a, Reading reading) {
    return a.atMillis() < reading.begunMillis() - ModelFleet.MAXIMUM_AGE_MILLIS;
  }

  /** Checks the promises against the log of the last primary. */
  void checkLog() {
    ModelServer primary = fleet.group.primary();
    Map<String, Integer> times = new HashMap<>();
    primary.log().forEach(e -> times.merge(e.requestId(), 1, Integer::sum));
    times.forEach(
        (id, count) -> {
          if (count > 1) {
            violations.add("twice: " + id);
          }
          if (notRun.contains(id)) {
            violations.add("promised not to have run: " + id);
          }
        });
    for (Acknowledged a : acknowledged) {
      if (!times.containsKey(a.requestId())) {
        violations.add("lost: " + a.requestId() + " acknowledged at " + a.atMillis());
      }
    }
  }

  /** A client that moves to another instance when its connection is gone. */
  private final class Client {
    private final String name;
    private final String database;
    private @Nullable ModelHost host;
    private @Nullable ClientSession session;
    private int attempt;

    Client(String name, String database) {
      this.name = name;
      this.database = database;
    }

    void operate() {
      if (stopped) {
        return;
      }
      List<ModelHost> running = fleet.hosts().stream().filter(h -> h.running && !h.frozen).toList();
      if (host == null || !running.contains(host) || host.instance == null || session == null) {
        session = null;
        host = running.isEmpty() ? null : running.get(random.nextInt(running.size()));
        if (host != null && host.instance != null) {
          session = host.instance.sessions().open(database, this::disconnect);
        }
      }
      if (session == null) {
        again(100);
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

    private void disconnect() {
      if (host != null && host.instance != null && session != null) {
        host.instance.sessions().close(session);
      }
      session = null;
    }

    private void again(int millis) {
      fleet.scheduler.schedule(Duration.ofMillis(millis + random.nextInt(20)), this::operate);
    }

    /** Runs a statement; a client whose process dies hears nothing and comes back later. */
    private void run(
        ClientSession open,
        String id,
        ClientStatement statement,
        java.util.function.Consumer<Answer> then) {
      int mine = ++attempt;
      fleet.scheduler.schedule(
          Duration.ofMillis(2_500),
          () -> {
            if (mine == attempt) {
              attempt++;
              disconnect();
              again(50);
            }
          });
      open.run(
          id,
          statement,
          answer -> {
            if (mine == attempt) {
              attempt++;
              then.accept(answer);
            }
          });
    }

    private void read(ClientSession open) {
      String id = "r" + requests++;
      readings.put(id, new Reading(database, name, fleet.scheduler.millis()));
      run(
          open,
          id,
          new ClientStatement.Read("READ item"),
          answer -> {
            count(answer);
            again(30);
          });
    }

    private void write(ClientSession open, String id) {
      run(
          open,
          id,
          new ClientStatement.Write("WRITE item data"),
          answer -> {
            settle(id, answer);
            again(30);
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
                      run(open, "x", new ClientStatement.Rollback(), done -> again(30));
                    } else {
                      run(
                          open,
                          commit,
                          new ClientStatement.Commit(),
                          answer -> {
                            settle(commit, answer);
                            again(30);
                          });
                    }
                  }));
    }

    private void settle(String id, Answer answer) {
      count(answer);
      if (answer.succeeded()) {
        acknowledged.add(new Acknowledged(id, fleet.scheduler.millis(), name));
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
  }
}
