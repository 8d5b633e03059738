package org.chicorylane.standin.wire;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/**
 * A training run for a class data archive. Writes the settings file of an instance that another
 * command starts, waits for that instance, and runs statements of every kind on it, so that the
 * classes it loads can be archived.
 */
public final class TrainingRun {

  private static final int ROUNDS = 150;

  /** The longest wait for the instance to start, and for it to replace a primary. */
  private static final long TIMEOUT_MILLIS = 20_000;

  private TrainingRun() {}

  /**
   * Runs all statements and exits the process.
   *
   * @param arguments the path of the settings file to write
   */
  public static void main(String[] arguments) throws IOException, InterruptedException {
    try (StandInSystem system = new StandInSystem()) {
      String address = system.writeSettings(Path.of(arguments[0]), "training");
      if (!system.awaitHome(TIMEOUT_MILLIS)) {
        throw new IOException("no instance asked the primary for its status within 20 s");
      }
      for (String database :
          List.of(StandInSystem.LATEST, StandInSystem.BOUNDED, StandInSystem.OWN)) {
        exercise(address, database);
      }
      system.putConfiguration(2);
      system.putServer(system.server(0), "draining");
      if (!system.awaitPromotion(TIMEOUT_MILLIS)) {
        throw new IOException("no server was promoted within 20 s");
      }
      exercise(address, StandInSystem.OWN);
    }
    System.exit(0);
  }

  private static void exercise(String address, String database) throws IOException {
    try (StandInWireClient client = new StandInWireClient(address)) {
      client.ask("STARTUP " + database + " trainer");
      client.ask("QUERY s1 SET zone a");
      client.ask("QUERY s2 PREPARE p WRITE shape");
      for (int i = 0; i < ROUNDS; i++) {
        client.ask("QUERY r" + i + " READ item" + i);
        client.ask("QUERY w" + i + " WRITE item" + i + " data");
        client.ask("QUERY e" + i + " EXECUTE p item" + i + " data");
        client.ask("QUERY b" + i + (i % 2 == 0 ? " BEGIN" : " BEGIN READ"));
        client.ask("QUERY t" + i + " READ item");
        client.ask("QUERY c" + i + (i % 3 == 0 ? " ROLLBACK" : " COMMIT"));
      }
      client.ask("QUERY x EXECUTE unknown item");
      client.ask("QUERY y NONSENSE");
      client.send("TERMINATE\r\n");
    }
  }
}
