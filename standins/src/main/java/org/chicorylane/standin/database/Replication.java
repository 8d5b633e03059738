package org.chicorylane.standin.database;

import java.sql.Connection;
import java.sql.SQLException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;

/**
 * The replication of one server: its role, its log, whom it follows and what it has received.
 *
 * <p>Thread-safe. One lock orders commits, received records, promotions and changes of the
 * upstream, so that the log's order is the order of commits.
 */
final class Replication {

  private static final Duration WAL_RECEIVER_TIMEOUT = Duration.ofSeconds(60);
  private static final long IDLE_NANOS = Duration.ofMillis(20).toNanos();
  private static final int RECORD_HEADER_BYTES = 64;
  private static final int STATEMENT_HEADER_BYTES = 32;
  private static final int BATCH_RECORDS = 256;

  private final Object lock = new Object();
  private final ServerCore server;
  private final ReplicationLog log = new ReplicationLog();
  private volatile boolean primary;
  private boolean promoting;
  private volatile ConnectionInfo setting;
  private ConnectionInfo pendingSetting;
  private @Nullable ConnectionInfo streamingFrom;
  private @Nullable Long receiveLsn;
  private @Nullable Long replayLsn;
  private long lastContactNanos;
  private volatile Duration receiveDelay = Duration.ZERO;
  private volatile Duration reloadDelay = Duration.ZERO;

  Replication(ServerCore server, boolean primary, ConnectionInfo upstream) {
    this.server = server;
    this.primary = primary;
    this.setting = upstream;
    this.pendingSetting = upstream;
  }

  ReplicationLog log() {
    return log;
  }

  boolean inRecovery() {
    return !primary;
  }

  boolean promoting() {
    synchronized (lock) {
      return promoting;
    }
  }

  void receiveDelay(Duration delay) {
    receiveDelay = delay;
  }

  void reloadDelay(Duration delay) {
    reloadDelay = delay;
  }

  /** Runs {@code change} while nothing commits, is received or is promoted. */
  void exclusively(Runnable change) {
    synchronized (lock) {
      change.run();
    }
  }

  ReplicationSnapshot snapshot() {
    synchronized (lock) {
      return new ReplicationSnapshot(
          !primary, log.timeline(), log.endLsn(), receiveLsn, replayLsn, streamingFrom, setting);
    }
  }

  /** Returns whether this server is a replica that is set to follow {@code upstream}. */
  boolean follows(ServerCore upstream) {
    ConnectionInfo info = setting;
    return !primary && info.present() && server.peer(info) == upstream;
  }

  /** Sets what {@link #reload} or a restart puts in force. */
  void upstreamSetting(String text) {
    synchronized (lock) {
      pendingSetting = ConnectionInfo.parse(text);
    }
  }

  /** Puts the upstream setting in force, after the reload delay if there is one. */
  void reload() {
    Duration delay = reloadDelay;
    if (delay.isZero()) {
      applySetting();
    } else {
      server.scheduler().schedule(this::applySetting, delay.toNanos(), TimeUnit.NANOSECONDS);
    }
  }

  private void applySetting() {
    synchronized (lock) {
      if (!setting.equals(pendingSetting)) {
        setting = pendingSetting;
        streamingFrom = null;
      }
    }
    server.wakeReplication();
  }

  /**
   * Commits a transaction: appends it to the log and makes it visible.
   *
   * @param cancelled whether the session was ended, checked where nothing can end it any more
   */
  void commit(
      Connection connection,
      long incarnation,
      List<LoggedStatement> statements,
      BooleanSupplier cancelled)
      throws SqlError, SQLException {
    while (true) {
      server.gate().pass();
      synchronized (lock) {
        if (server.gate().frozen()) {
          continue;
        }
        if (incarnation != server.incarnation() || cancelled.getAsBoolean()) {
          connection.rollback();
          throw SqlError.shutDown();
        }
        if (!primary) {
          connection.rollback();
          throw SqlError.readOnly("COMMIT");
        }
        appendOwn(log.timeline(), statements);
        connection.commit();
      }
      server.wakeFollowers();
      return;
    }
  }

  private void appendOwn(int timeline, List<LoggedStatement> statements) {
    long bytes = RECORD_HEADER_BYTES;
    for (LoggedStatement s : statements) {
      bytes += STATEMENT_HEADER_BYTES + s.sql().length() + 8L * s.parameters().size();
    }
    log.append(
        new LogRecord(
            log.endLsn() + bytes,
            timeline,
            log.size(),
            server.name(),
            server.incarnation(),
            List.copyOf(statements)));
  }

  /** Promotes this replica; fails with 55000 if it is a primary. */
  boolean promote(boolean wait, int waitSeconds) throws SqlError {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(waitSeconds);
    synchronized (lock) {
      if (primary) {
        throw new SqlError(SqlError.NOT_IN_PREREQUISITE_STATE, "recovery is not in progress");
      }
      promoting = true;
      streamingFrom = null;
    }
    server.wakeReplication();
    synchronized (lock) {
      while (wait && !primary && System.nanoTime() < deadline) {
        try {
          TimeUnit.NANOSECONDS.timedWait(lock, deadline - System.nanoTime());
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
          return primary;
        }
      }
      return !wait || primary;
    }
  }

  /** Notes that the first {@code count} records are replayed; ends a promotion with the last. */
  void replayed(int count, long lsn) {
    synchronized (lock) {
      if (primary) {
        return;
      }
      replayLsn = lsn;
      if (!promoting || count < log.size()) {
        return;
      }
      promoting = false;
      primary = true;
      appendOwn(log.timeline() + 1, List.of());
      lock.notifyAll();
    }
    server.wakeFollowers();
  }

  /**
   * Takes from the upstream what is due.
   *
   * @return the nanoseconds until there may be more
   */
  long receive() {
    long wait;
    synchronized (lock) {
      wait = receiveLocked();
    }
    if (wait == 0) {
      server.wakeFollowers();
    }
    return wait;
  }

  private long receiveLocked() {
    ConnectionInfo info = setting;
    ServerCore upstream = info.present() ? server.peer(info) : null;
    if (server.gate().frozen()) {
      return IDLE_NANOS;
    }
    if (primary || promoting || upstream == null || !server.running() || !upstream.running()) {
      streamingFrom = null;
      return IDLE_NANOS;
    }
    long now = System.nanoTime();
    if (upstream.gate().frozen() || !server.connectedTo(upstream)) {
      if (now - lastContactNanos > WAL_RECEIVER_TIMEOUT.toNanos()) {
        streamingFrom = null;
      }
      return IDLE_NANOS;
    }
    if (log.relationTo(upstream.replication().log()) != ReplicationLog.Relation.PREFIX) {
      streamingFrom = null;
      return IDLE_NANOS;
    }
    streamingFrom = info;
    lastContactNanos = now;
    long wait = copyDue(upstream.replication().log(), now);
    receiveLsn = log.endLsn();
    return wait;
  }

  private long copyDue(ReplicationLog source, long now) {
    long delay = receiveDelay.toNanos();
    for (int i = 0; i < BATCH_RECORDS; i++) {
      ReplicationLog.Entry e = source.entry(log.size());
      long remaining = e == null ? IDLE_NANOS : e.arrivalNanos() + delay - now;
      if (e == null || remaining > 0) {
        return i > 0 ? 0 : Math.min(remaining, IDLE_NANOS);
      }
      log.append(e.record());
    }
    return 0;
  }

  /** Puts the settings in force that changed before a restart; streaming has to begin anew. */
  void restarted() {
    synchronized (lock) {
      setting = pendingSetting;
      streamingFrom = null;
      receiveLsn = null;
      promoting = false;
    }
  }

  /** Drops the log and starts over as a replica of {@code upstream}. */
  void reset(ConnectionInfo upstream) {
    synchronized (lock) {
      log.clear();
      primary = false;
      promoting = false;
      setting = upstream;
      pendingSetting = upstream;
      streamingFrom = null;
      receiveLsn = null;
      replayLsn = null;
    }
  }
}
