package org.chicorylane.bench.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.chicorylane.standin.wire.ReplicatedGroup;
import org.chicorylane.standin.wire.ReplicatedSystem;
import org.chicorylane.standin.wire.StandInWireClient;
import org.chicorylane.standin.wire.WireRows;
import org.chicorylane.standin.wire.WireTexts;

/**
 * A client that reads, writes and runs transactions on one route. It keeps a connection until it
 * breaks, and then connects to another instance.
 */
final class SoakSession implements Runnable {

  /** Codes that promise that nothing of the client's attempt is kept. */
  private static final List<String> PROMISES =
      List.of("BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "TOOMANY");

  private static final int MAX_STATEMENTS_PER_CONNECTION = 400;
  private static final int MAX_PAUSE_MILLIS = 40;
  private static final int MAX_TRANSACTION_PAUSE_MILLIS = 120;

  /** A request that ends sooner without an answer may not have been read by the instance. */
  private static final long LOSS_SLACK_MILLIS = 200;

  /** The time-out of the routes. */
  private static final long ROUTE_TIMEOUT_MILLIS = 800;

  /** The result of a statement. */
  private enum Result {
    SUCCESS,
    ERROR,
    BROKEN
  }

  private final String name;
  private final ReplicatedGroup group;
  private final String kind;
  private final SoakFleet fleet;
  private final PromiseChecker checker;
  private final Timeline timeline;
  private final Random random;
  private int requests;
  private int connections;

  SoakSession(
      String name,
      ReplicatedGroup group,
      String kind,
      SoakFleet fleet,
      PromiseChecker checker,
      Timeline timeline,
      long seed) {
    this.name = name;
    this.group = group;
    this.kind = kind;
    this.fleet = fleet;
    this.checker = checker;
    this.timeline = timeline;
    this.random = new Random(seed);
  }

  @Override
  public void run() {
    while (!fleet.isEnding()) {
      InstanceProcess instance = fleet.chooseReady(random);
      try (StandInWireClient client = new StandInWireClient(instance.clientAddress())) {
        useConnection(client, instance);
      } catch (IOException e) {
        // The instance does not accept connections, or does not answer; another one is tried.
        pause(MAX_PAUSE_MILLIS);
      }
    }
  }

  private void useConnection(StandInWireClient client, InstanceProcess instance)
      throws IOException {
    connections++;
    String database = ReplicatedSystem.databaseOf(kind, group.name());
    List<String> greeting = client.ask("STARTUP " + database + " " + name);
    if (greeting.isEmpty() || !greeting.get(0).startsWith("READY")) {
      pause(MAX_PAUSE_MILLIS);
      return;
    }
    String shape = WireTexts.last(random, connectionName());
    boolean isPrepared =
        ask(client, instance, nextId(), "PREPARE p WRITE " + shape) == Result.SUCCESS;
    int left = isPrepared ? 1 + random.nextInt(MAX_STATEMENTS_PER_CONNECTION) : 0;
    while (left > 0 && !fleet.isEnding()) {
      left = operate(client, instance) ? left - 1 : 0;
      pause(MAX_PAUSE_MILLIS);
    }
    client.send("TERMINATE\r\n");
  }

  /** Runs one operation; returns whether the connection can be used for another one. */
  private boolean operate(StandInWireClient client, InstanceProcess instance) throws IOException {
    return switch (random.nextInt(11)) {
      case 0, 1, 2, 3 -> read(client, instance, System.nanoTime()) != Result.BROKEN;
      case 4, 5, 6 -> write(client, instance, "WRITE " + drawItemAndData());
      case 7 -> write(client, instance, "EXECUTE p " + drawItemAndData());
      case 8 -> readTransaction(client, instance);
      case 9 -> set(client, instance);
      default -> transaction(client, instance);
    };
  }

  /** Draws the item and the data of a write, which hold any bytes. */
  private String drawItemAndData() {
    String unique = connectionName() + "-" + requests;
    return WireTexts.inner(random, unique + "i") + " " + WireTexts.last(random, unique + "d");
  }

  /** Sets a value of the session; an error ends the session. */
  private boolean set(StandInWireClient client, InstanceProcess instance) throws IOException {
    String value = WireTexts.last(random, connectionName() + "-" + requests);
    return ask(client, instance, nextId(), "SET zone " + value) == Result.SUCCESS;
  }

  private Result read(StandInWireClient client, InstanceProcess instance, long sinceNanos)
      throws IOException {
    String id = nextId();
    checker.onReadSent(group, id, kind, connectionName(), sinceNanos);
    return ask(client, instance, id, "READ " + WireTexts.last(random, id));
  }

  private boolean write(StandInWireClient client, InstanceProcess instance, String text)
      throws IOException {
    String id = nextId();
    Result result = ask(client, instance, id, text);
    if (result == Result.SUCCESS) {
      checker.onAcknowledged(group, id, connectionName());
    }
    return result != Result.BROKEN;
  }

  private boolean readTransaction(StandInWireClient client, InstanceProcess instance)
      throws IOException {
    long start = System.nanoTime();
    Result result = ask(client, instance, nextId(), "BEGIN READ");
    for (int i = 0; i < 2 && result == Result.SUCCESS; i++) {
      result = read(client, instance, start);
      pause(MAX_TRANSACTION_PAUSE_MILLIS);
    }
    return result == Result.SUCCESS && ask(client, instance, nextId(), "COMMIT") != Result.BROKEN;
  }

  private boolean transaction(StandInWireClient client, InstanceProcess instance)
      throws IOException {
    long start = System.nanoTime();
    Result result = ask(client, instance, nextId(), "BEGIN");
    if (result == Result.SUCCESS && random.nextBoolean()) {
      result = read(client, instance, start);
    }
    for (int i = 0; i < 2 && result == Result.SUCCESS; i++) {
      pause(MAX_TRANSACTION_PAUSE_MILLIS);
      result = ask(client, instance, nextId(), "WRITE " + drawItemAndData());
    }
    if (result != Result.SUCCESS) {
      return false;
    }
    if (random.nextInt(6) == 0) {
      return ask(client, instance, nextId(), "ROLLBACK") == Result.SUCCESS;
    }
    return write(client, instance, "COMMIT");
  }

  private Result ask(
      StandInWireClient client, InstanceProcess instance, String id, String statement)
      throws IOException {
    checker.onStatementSent(id, statement);
    long sentNanos = System.nanoTime();
    List<String> answer;
    try {
      answer = client.ask("QUERY " + id + " " + statement);
    } catch (IOException e) {
      onNoAnswer(instance, id, statement, sentNanos, e.toString());
      throw e;
    }
    String last = answer.isEmpty() ? "" : answer.get(answer.size() - 1);
    if (!last.startsWith("READY")) {
      onNoAnswer(instance, id, statement, sentNanos, "the connection ended");
      return Result.BROKEN;
    }
    List<String> before = answer.subList(0, answer.size() - 1);
    if (before.size() == 1 && before.get(0).startsWith("ERROR ")) {
      if (PROMISES.contains(before.get(0).split(" ", -1)[1])) {
        checker.onRefused(group, id);
      }
      return last.startsWith("READY I") ? Result.ERROR : Result.BROKEN;
    }
    List<String> expected = expectedAnswer(id, statement);
    if (!before.equals(expected)) {
      timeline.violation(
          "MIXED",
          String.format(
              Locale.ROOT,
              "%s got \"%s\" for %s %s, expected \"%s\"",
              name,
              PromiseChecker.printable(String.join("|", before)),
              id,
              PromiseChecker.printable(statement),
              PromiseChecker.printable(String.join("|", expected))));
    }
    return Result.SUCCESS;
  }

  /** Returns the messages that answer a statement with success, without READY. */
  private static List<String> expectedAnswer(String id, String statement) {
    List<String> messages = new ArrayList<>();
    if (statement.startsWith("READ ")) {
      WireRows.EVERY_BYTE.of(id).forEach(row -> messages.add("DATAROW " + row));
    }
    boolean hasSignature =
        statement.startsWith("READ ")
            || statement.startsWith("WRITE ")
            || statement.startsWith("EXECUTE ")
            || statement.equals("COMMIT");
    messages.add("COMPLETE " + (hasSignature ? "sig." + id : "-"));
    return messages;
  }

  private void onNoAnswer(
      InstanceProcess instance, String id, String statement, long sentNanos, String reason) {
    long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos);
    boolean wasRead = millis > LOSS_SLACK_MILLIS || checker.hasRun(id);
    if (fleet.onlyPlannedWork() && wasRead && millis < ROUTE_TIMEOUT_MILLIS) {
      timeline.violation(
          "UNANSWERED",
          String.format(
              Locale.ROOT,
              "%s got no answer from %s to %s %s within %d ms: %s",
              name,
              instance.name(),
              id,
              statement,
              millis,
              reason));
    }
  }

  /** Returns the name of the present connection; a session of the proxy is a connection. */
  private String connectionName() {
    return name + "/" + connections;
  }

  private String nextId() {
    requests++;
    return name + "-" + requests;
  }

  private void pause(int maxMillis) {
    LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1 + random.nextInt(maxMillis)));
  }
}
