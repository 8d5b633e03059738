package org.chicorylane.bench.load;

import java.util.Arrays;
import java.util.Locale;
import org.chicorylane.standin.database.StandInServer;

/** What can happen to a primary. */
enum PrimaryFault {
  /** Its process ends. */
  KILL {
    @Override
    void inflict(StandInServer server) {
      server.kill();
    }

    @Override
    void end(StandInServer server) {
      server.restart(StandInServer.Data.KEPT);
    }
  },
  /** It stops working with its connections open, and later goes on. */
  FREEZE {
    @Override
    void inflict(StandInServer server) {
      server.freeze();
    }

    @Override
    void end(StandInServer server) {
      server.thaw();
    }
  },
  /** The instances no longer reach it, while it still replicates. */
  PARTITION {
    @Override
    void inflict(StandInServer server) {
      server.isolateCallers(INSTANCES);
    }

    @Override
    void end(StandInServer server) {
      server.endIsolation();
    }
  };

  private static final String INSTANCES = "chicorylane";

  abstract void inflict(StandInServer server);

  abstract void end(StandInServer server);

  /** Returns the fault of that name in lower case. */
  static PrimaryFault of(String text) {
    return Arrays.stream(values())
        .filter(f -> f.name().toLowerCase(Locale.ROOT).equals(text))
        .findFirst()
        .orElseThrow(
            () ->
                new IllegalArgumentException(
                    "--fault takes kill, freeze or partition, not \"" + text + "\""));
  }
}
