package org.chicorylane.internal.proxy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.chicorylane.internal.entry.ClientSession;
import org.chicorylane.internal.passthrough.Answer;
import org.chicorylane.internal.passthrough.ClientStatement;
import org.chicorylane.internal.passthrough.FailureCode;
import org.chicorylane.internal.passthrough.TransactionState;
import org.jspecify.annotations.Nullable;

/**
 * Clients with account keys, one for each key at each instance, and the operator who withdraws
 * keys. They keep on using a key after it was withdrawn.
 *
 * <p>They record a violation for each statement that a client sent later than {@link #BOUND} after
 * the withdrawal of its key and that ran.
 */
final class AccountClients {

  static final Duration BOUND = Duration.ofMillis(5_000);

  private static final Duration STATEMENT_TIMEOUT = Duration.ofMillis(2_500);
  private static final int PAUSE_MILLIS = 40;

  /** A statement that a client sent. */
  private record Sent(String key, long atMillis, boolean isSingleWrite) {}

  private final ModelFleet fleet;
  private final Random random;
  private final Map<String, String> accountOfKey = new TreeMap<>();
  private final Map<String, Long> withdrawnMillis = new HashMap<>();
  private final Map<String, Sent> sent = new HashMap<>();
  private final Set<String> notRun = new HashSet<>();
  final List<String> violations = new ArrayList<>();

  /** Answers by their key and outcome. */
  final Map<String, Integer> outcomes = new TreeMap<>();

  /** Time of the last success by key. */
  final Map<String, Long> lastSuccessMillis = new HashMap<>();

  private int requests;

  AccountClients(ModelFleet fleet, Random random, int keys) {
    this.fleet = fleet;
    this.random = random;
    for (int i = 0; i < keys; i++) {
      accountOfKey.put("key-" + i, "account-" + i);
    }
    fleet.putAccounts(accountOfKey);
    fleet.group.listener = (server, connection, id, values, state) -> onRun(id);
  }

  /** Starts the clients. */
  void begin() {
    for (ModelHost host : fleet.hosts()) {
      for (String key : accountOfKey.keySet()) {
        Client client = new Client(host, key);
        fleet.scheduler.schedule(Duration.ofMillis(random.nextInt(100)), client::runOperation);
      }
    }
  }

  /** Takes a key away; the store acknowledges the change at once. */
  void withdraw(String key) {
    accountOfKey.remove(key);
    fleet.putAccounts(accountOfKey);
    withdrawnMillis.put(key, fleet.scheduler.millis());
  }

  /** Lets a key give access to another account. */
  void move(String key, String account) {
    accountOfKey.put(key, account);
    fleet.putAccounts(accountOfKey);
  }

  /** Returns the number of answers to statements with a key that had the outcome. */
  int count(String key, FailureCode failure) {
    return outcomes.getOrDefault(key + " " + failure, 0);
  }

  /** Returns the number of statements with a key that succeeded. */
  int countSuccesses(String key) {
    return outcomes.getOrDefault(key + " done", 0);
  }

  /** Returns the number of statements with a key that did not succeed. */
  int countFailures(String key) {
    return outcomes.entrySet().stream()
        .filter(e -> e.getKey().startsWith(key + " ") && !e.getKey().endsWith(" done"))
        .mapToInt(Map.Entry::getValue)
        .sum();
  }

  private void onRun(String id) {
    Sent statement = sent.get(id);
    if (statement != null) {
      check(id, statement, "ran");
    }
    if (notRun.contains(id)) {
      violations.add(id + " ran after it was answered as not run");
    }
  }

  private void check(String id, Sent statement, String event) {
    Long withdrawn = withdrawnMillis.get(statement.key());
    if (withdrawn != null && statement.atMillis() - withdrawn > BOUND.toMillis()) {
      violations.add(
          id
              + " "
              + event
              + ", sent "
              + (statement.atMillis() - withdrawn)
              + " ms after the withdrawal of "
              + statement.key());
    }
  }

  /** A client that stays with one instance. */
  private final class Client {
    private final ModelHost host;
    private final String key;
    private @Nullable ClientSession session;
    private @Nullable ProxyInstance instance;
    private boolean inTransaction;
    private int attempt;

    Client(ModelHost host, String key) {
      this.host = host;
      this.key = key;
    }

    void runOperation() {
      inTransaction = false;
      if (!host.running || host.frozen) {
        session = null;
        scheduleNext(200);
        return;
      }
      if (session == null || instance != host.instance) {
        instance = host.instance;
        session = host.openSession(ModelFleet.LATEST, key, () -> session = null);
      }
      ClientSession open = session;
      if (open == null) {
        scheduleNext(200);
        return;
      }
      switch (random.nextInt(3)) {
        case 0 -> run(open, new ClientStatement.Read("READ item"), a -> scheduleNext(PAUSE_MILLIS));
        case 1 ->
            run(
                open,
                new ClientStatement.Write("WRITE item data"),
                a -> scheduleNext(PAUSE_MILLIS));
        default -> runTransaction(open);
      }
    }

    private void scheduleNext(int millis) {
      fleet.scheduler.schedule(Duration.ofMillis(millis + random.nextInt(20)), this::runOperation);
    }

    private void runTransaction(ClientSession open) {
      inTransaction = true;
      open.run("begin", new ClientStatement.Begin(false), begun -> {});
      run(
          open,
          new ClientStatement.Write("WRITE item data"),
          written ->
              fleet.scheduler.schedule(
                  Duration.ofMillis(random.nextInt(150)),
                  () -> {
                    if (written.state() == TransactionState.OPEN) {
                      run(open, new ClientStatement.Commit(), a -> scheduleNext(PAUSE_MILLIS));
                    } else {
                      open.run("rollback", new ClientStatement.Rollback(), a -> {});
                      scheduleNext(PAUSE_MILLIS);
                    }
                  }));
    }

    private void run(ClientSession open, ClientStatement statement, Consumer<Answer> next) {
      String id = key + "-" + requests++;
      boolean isSingleWrite = statement instanceof ClientStatement.Write && !inTransaction;
      Sent started = new Sent(key, fleet.scheduler.millis(), isSingleWrite);
      sent.put(id, started);
      int ownAttempt = ++attempt;
      fleet.scheduler.schedule(
          STATEMENT_TIMEOUT,
          () -> {
            if (ownAttempt == attempt) {
              attempt++;
              count("no answer");
              if (host.instance != null && host.instance == instance) {
                host.instance.sessions().close(open);
              }
              session = null;
              scheduleNext(PAUSE_MILLIS);
            }
          });
      open.run(
          id,
          statement,
          answer -> {
            if (ownAttempt != attempt) {
              return;
            }
            attempt++;
            record(id, started, answer);
            next.accept(answer);
          });
    }

    private void record(String id, Sent started, Answer answer) {
      FailureCode failure = answer.failure();
      if (failure == null) {
        check(id, started, "succeeded");
        lastSuccessMillis.put(key, fleet.scheduler.millis());
        count("done");
      } else {
        count(failure.name());
        if (failure.guaranteesNoEffect() && started.isSingleWrite()) {
          notRun.add(id);
        }
      }
    }

    private void count(String outcome) {
      outcomes.merge(key + " " + outcome, 1, Integer::sum);
    }
  }
}
