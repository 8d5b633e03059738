package org.chicorylane.standin.database;

import java.sql.Connection;
import java.sql.PreparedStatement;
import java.sql.SQLException;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import org.jspecify.annotations.Nullable;

/**
 * Applies a replica's received records to its engine, whole transactions in their order.
 *
 * <p>Thread-safe; one thread applies at a time.
 */
final class Replay {

  private static final long IDLE_NANOS = Duration.ofMillis(20).toNanos();
  private static final Duration LOCK_TIMEOUT = Duration.ofSeconds(30);
  private static final int CACHED_STATEMENTS = 64;

  private final ServerCore server;
  private final List<String> faults = new CopyOnWriteArrayList<>();
  private final Map<String, PreparedStatement> statements =
      new LinkedHashMap<>(CACHED_STATEMENTS, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, PreparedStatement> eldest) {
          return size() > CACHED_STATEMENTS;
        }
      };
  private @Nullable Connection connection;
  private int applied;
  private volatile Duration delay = Duration.ZERO;

  Replay(ServerCore server) {
    this.server = server;
  }

  void delay(Duration newDelay) {
    delay = newDelay;
  }

  /** Returns what went differently here than on the primary; empty unless the stand-in erred. */
  List<String> faults() {
    return List.copyOf(faults);
  }

  /**
   * Applies the next record if it is due.
   *
   * @return the nanoseconds until there may be more
   */
  synchronized long step() {
    Replication replication = server.replication();
    if (!server.running() || server.gate().frozen() || !replication.inRecovery()) {
      return IDLE_NANOS;
    }
    ReplicationLog.Entry e = replication.log().entry(applied);
    boolean promoting = replication.promoting();
    if (e == null) {
      if (promoting) {
        replication.replayed(applied, replication.log().endLsn());
      }
      return IDLE_NANOS;
    }
    long wait = e.arrivalNanos() + delay.toNanos() - System.nanoTime();
    if (wait > 0 && !promoting) {
      return Math.min(wait, IDLE_NANOS);
    }
    apply(e.record());
    applied++;
    replication.replayed(applied, e.record().lsn());
    return 0;
  }

  /** Starts over on the server's new engine. */
  synchronized void reset() {
    statements.clear();
    connection = null;
    applied = 0;
  }

  private void apply(LogRecord logRecord) {
    try {
      Connection c = connection;
      if (c == null) {
        c = server.engine().connect(LOCK_TIMEOUT);
        connection = c;
      }
      for (LoggedStatement s : logRecord.statements()) {
        long count = run(c, s);
        if (count != s.updateCount()) {
          faults.add(count + " rows here, " + s.updateCount() + " on the primary: " + s);
        }
      }
      c.commit();
    } catch (SQLException e) {
      faults.add("record " + logRecord + " failed: " + e.getMessage());
    }
  }

  private long run(Connection c, LoggedStatement s) throws SQLException {
    PreparedStatement p = statements.get(s.executedSql());
    if (p == null) {
      p = c.prepareStatement(s.executedSql());
      statements.put(s.executedSql(), p);
    }
    Parameters.bind(p, s.parameters());
    return SqlSession.updateCount(p, p.execute());
  }
}
