package org.chicorylane.standin.database;

import java.time.OffsetDateTime;
import java.time.ZoneOffset;
import java.time.temporal.ChronoUnit;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import org.jspecify.annotations.Nullable;

/**
 * What the server functions of one statement act on.
 *
 * <p>Not thread-safe; made for one run of one statement.
 */
final class FunctionContext {

  private static final double NANOS_PER_SECOND = 1e9;

  private final ServerCore server;
  private final int pid;
  private @Nullable ReplicationSnapshot snapshot;

  FunctionContext(ServerCore server, int pid) {
    this.server = server;
    this.pid = pid;
  }

  ReplicationSnapshot snapshot() {
    ReplicationSnapshot s = snapshot;
    if (s == null) {
      s = server.replication().snapshot();
      snapshot = s;
    }
    return s;
  }

  boolean promote(boolean wait, int waitSeconds) throws SqlError {
    return server.replication().promote(wait, waitSeconds);
  }

  void reload() {
    server.replication().reload();
  }

  OffsetDateTime startTime() {
    return server.startTime().truncatedTo(ChronoUnit.MICROS).atOffset(ZoneOffset.UTC);
  }

  int pid() {
    return pid;
  }

  AdvisoryLocks locks() {
    return server.sessions().locks();
  }

  boolean terminate(int target) {
    return server.sessions().terminate(target, SqlError.shutDown());
  }

  List<SessionActivity> activity() {
    return server.sessions().activity();
  }

  void sleep(double seconds) {
    LockSupport.parkNanos((long) (seconds * NANOS_PER_SECOND));
  }
}
