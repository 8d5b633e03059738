package org.chicorylane.standin.wire;

import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A training run for a class data archive. Writes the settings files of two instances that another
 * command starts, waits for them, and runs statements of every kind on both, so that each relays
 * statements to the other and is the home of a group. Then the second instance is killed, so that
 * the first one replaces it as the home. The classes that the first instance has loaded by then are
 * those that it needs after a restart.
 */
public final class TrainingRun {

  private static final int ROUNDS = 150;

  /** The longest wait for the instances to start, and for each change that is provoked. */
  private static final long TIMEOUT_MILLIS = 20_000;

  /** Time for two instances that share two groups unevenly to hand one of them over. */
  private static final long BALANCING_MILLIS = 9_000;

  private static final String FURTHER_GROUP = "billing";

  /** Number of sessions so far, which makes the request ids unique. */
  private static int sessions;

  private TrainingRun() {}

  /**
   * Runs all statements and exits the process.
   *
   * @param arguments the paths of the settings files to write, first that of the instance to train
   *     and second that of its peer, and the path of the file that is written when the peer is to
   *     be killed
   */
  public static void main(String[] arguments) throws IOException, InterruptedException {
    try (StandInSystem system = new StandInSystem(List.of(FURTHER_GROUP))) {
      Path settings = Path.of(arguments[0]);
      List<String> addresses =
          List.of(
              system.writeSettings(settings, "training"),
              system.writeSettings(Path.of(arguments[1]), "peer"));
      if (!system.awaitHome(TIMEOUT_MILLIS)) {
        throw new IOException("no instance asked the primaries for their status within 20 s");
      }
      awaitReady(settings);
      exerciseAll(addresses);
      system.putConfiguration(2);
      system.putServer(system.server(0), "draining");
      if (!system.awaitPromotion(TIMEOUT_MILLIS)) {
        throw new IOException("no server was promoted within 20 s");
      }
      long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(BALANCING_MILLIS);
      while (System.nanoTime() < end) {
        exerciseAll(addresses);
      }
      Files.createFile(Path.of(arguments[2]));
      awaitEnd(addresses.get(1));
      exerciseAll(addresses.subList(0, 1));
    }
    System.exit(0);
  }

  private static void awaitReady(Path settings) throws IOException {
    String address =
        JsonParser.parseString(Files.readString(settings))
            .getAsJsonObject()
            .get("readinessAddress")
            .getAsString();
    URI page = URI.create("http://" + address + "/-/readiness");
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
    while (System.nanoTime() < end) {
      HttpURLConnection connection = (HttpURLConnection) page.toURL().openConnection();
      boolean isReady = connection.getResponseCode() == HttpURLConnection.HTTP_OK;
      connection.disconnect();
      if (isReady) {
        return;
      }
    }
    throw new IOException(page + " did not answer with 200 within 20 s");
  }

  private static void awaitEnd(String address) throws IOException {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
    while (System.nanoTime() < end) {
      try (StandInWireClient client = new StandInWireClient(address)) {
        if (client.ask("STARTUP " + StandInSystem.OWN + " trainer").isEmpty()) {
          return;
        }
      } catch (IOException e) {
        // The port refuses connections, so the process has ended.
        return;
      }
    }
    throw new IOException("the instance at " + address + " was not killed within 20 s");
  }

  private static void exerciseAll(List<String> addresses) throws IOException {
    for (String address : addresses) {
      for (String database :
          List.of(
              StandInSystem.LATEST,
              StandInSystem.BOUNDED,
              StandInSystem.OWN,
              StandInSystem.databaseOf(FURTHER_GROUP))) {
        exercise(address, database);
      }
    }
  }

  private static void exercise(String address, String database) throws IOException {
    String query = nextQuery();
    try (StandInWireClient client = new StandInWireClient(address)) {
      client.ask("STARTUP " + database + " trainer");
      client.ask(query + "s1 SET zone a");
      client.ask(query + "s2 PREPARE p WRITE shape");
      for (int i = 0; i < ROUNDS; i++) {
        client.ask(query + "r" + i + " READ item" + i);
        client.ask(query + "w" + i + " WRITE item" + i + " data");
        client.ask(query + "e" + i + " EXECUTE p item" + i + " data");
        client.ask(query + "b" + i + (i % 2 == 0 ? " BEGIN" : " BEGIN READ"));
        client.ask(query + "t" + i + " READ item");
        client.ask(query + "c" + i + (i % 3 == 0 ? " ROLLBACK" : " COMMIT"));
      }
      client.ask(query + "x EXECUTE unknown item");
      client.ask(query + "y NONSENSE");
      client.send("TERMINATE\r\n");
    }
    abandonTransaction(address, database);
  }

  /** Opens a transaction and resets the connection, so that the transaction is rolled back. */
  private static void abandonTransaction(String address, String database) throws IOException {
    String query = nextQuery();
    try (StandInWireClient client = new StandInWireClient(address)) {
      client.ask("STARTUP " + database + " trainer");
      client.ask(query + "b BEGIN");
      client.ask(query + "r READ item");
      client.reset();
    }
  }

  /** Returns how the statements of a further session begin. */
  private static String nextQuery() {
    sessions++;
    return "QUERY " + sessions + "-";
  }
}
