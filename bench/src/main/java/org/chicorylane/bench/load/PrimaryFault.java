package org.chicorylane.bench.load;

import java.util.Arrays;
import java.util.Locale;
import org.chicorylane.standin.database.StandInServer;

/** The faults that can be injected into a primary. */
enum PrimaryFault {
  /** The server's process ends; it restarts with its data. */
  KILL {
    @Override
    void inject(StandInServer server) {
      server.kill();
    }

    @Override
    void heal(StandInServer server) {
      server.restart(StandInServer.Data.KEPT);
    }
  },
  /** The server stops working with its connections open and later resumes. */
  FREEZE {
    @Override
    void inject(StandInServer server) {
      server.freeze();
    }

    @Override
    void heal(StandInServer server) {
      server.thaw();
    }
  },
  /** The instances cannot reach the server, while it still replicates. */
  PARTITION {
    @Override
    void inject(StandInServer server) {
      server.isolateCallers(INSTANCES);
    }

    @Override
    void heal(StandInServer server) {
      server.endIsolation();
    }
  };

  private static final String INSTANCES = "chicorylane";

  abstract void inject(StandInServer server);

  abstract void heal(StandInServer server);

  /** Returns the fault whose lower-case name is {@code text}. */
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
