package org.chicorylane.standin.database;

import io.netty.channel.EventLoopGroup;
import java.sql.SQLException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;

/**
 * One server of a stand-in database group: its address, its faults and what it has done.
 *
 * <pre>{@code
 * StandInServer server = group.server("plans-2");
 * server.replayDelay(Duration.ofSeconds(5)); // its reads get old
 * server.kill();
 * server.restart(StandInServer.Data.KEPT);
 * }</pre>
 *
 * <p>Thread-safe. Traps: delays count from a record's arrival, so a shorter delay takes effect at
 * once; a frozen or isolated server loses no traffic, while a cut connection loses all of it for
 * good, the end of the connection included.
 */
public final class StandInServer {

  /** What a restarted server finds of its data. */
  public enum Data {
    /** Everything that it had committed or received. */
    KEPT,
    /** Nothing: it starts as an empty replica that follows nobody. */
    LOST
  }

  private static final String HOST = "127.0.0.1";
  private static final Duration FOLLOWER_TIMEOUT = Duration.ofSeconds(5);

  private final String zone;
  private final ServerCore core;
  private final Listener listener;

  StandInServer(
      GroupCore group, EventLoopGroup loops, String name, String zone, int port, int upstreamPort)
      throws SQLException {
    this.zone = zone;
    boolean primary = upstreamPort == 0;
    ConnectionInfo upstream = primary ? ConnectionInfo.NONE : ConnectionInfo.of(HOST, upstreamPort);
    core = new ServerCore(group, name, primary, upstream);
    listener = new Listener(core, loops, port);
  }

  void start() {
    core.begin();
    listener.open();
    core.startReplication();
  }

  ServerCore core() {
    return core;
  }

  /** Returns the server's name, such as {@code plans-1}. */
  public String name() {
    return core.name();
  }

  /** Returns the availability zone, empty if the group was built without zones. */
  public String zone() {
    return zone;
  }

  /** Returns the address on which it listens. */
  public String host() {
    return HOST;
  }

  /** Returns the port on which it listens, the same after a restart. */
  public int port() {
    return listener.port();
  }

  /** Resets all connections and refuses new ones; transactions in flight are lost. */
  public void kill() {
    core.end();
    listener.close();
    listener.links().forEach(Link::reset);
    core.sessions().clear().forEach(Session::abandon);
  }

  /**
   * Starts a killed or shut down server again, on its old port.
   *
   * @throws IllegalStateException if it runs
   */
  public void restart(Data data) {
    if (core.running()) {
      throw new IllegalStateException("server " + name() + " is running");
    }
    if (data == Data.LOST) {
      erase(ConnectionInfo.NONE);
    }
    core.replication().restarted();
    core.sessions().shuttingDown(false);
    core.begin();
    listener.open();
  }

  /** Replaces this server by a fresh replica of {@code source}; kills it first if it runs. */
  public void rebuild(StandInServer source) {
    if (core.running()) {
      kill();
    }
    erase(ConnectionInfo.of(source.host(), source.port()));
    restart(Data.KEPT);
  }

  private void erase(ConnectionInfo upstream) {
    try {
      core.eraseData(upstream);
    } catch (SQLException e) {
      throw new IllegalStateException("cannot erase the data of " + name(), e);
    }
  }

  /** Stops all work until {@link #thaw}: connections stay open, nothing is read or answered. */
  public void freeze() {
    core.freeze();
    listener.applyHolds();
  }

  /** Continues the work of a frozen server, with whatever arrived meanwhile. */
  public void thaw() {
    core.thaw();
    listener.applyHolds();
  }

  /** Drops all traffic of the connections open now, for good; new connections work. */
  public void cut() {
    listener.links().forEach(Link::silence);
  }

  /**
   * Holds the traffic of callers until {@link #endIsolation}; replication goes on.
   *
   * @param label the beginning of the application name that the callers connected with, empty for
   *     all callers
   */
  public void isolateCallers(String label) {
    listener.isolate(label);
  }

  /** Ends all isolation of callers and delivers what was held. */
  public void endIsolation() {
    listener.endIsolation();
  }

  /**
   * Shuts down gracefully: refuses new connections, ends idle sessions, waits for transactions and
   * then for the replicas that stream from it to receive all.
   *
   * @return done when the server has stopped
   */
  public CompletableFuture<Void> shutDown() {
    core.sessions().shuttingDown(true);
    listener.close();
    core.sessions().all().forEach(Session::endWhenIdle);
    return CompletableFuture.runAsync(this::awaitSessions, core.executor());
  }

  private void awaitSessions() {
    try {
      core.sessions().awaitEmpty();
      core.awaitFollowers(FOLLOWER_TIMEOUT);
      core.end();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("shutdown of " + name() + " was interrupted", e);
    }
  }

  /** Sets how long a record takes from the upstream's log to this one's. */
  public void receiveDelay(Duration delay) {
    core.replication().receiveDelay(delay);
    core.wakeReplication();
  }

  /** Sets how long a received record waits before it is replayed; a promotion does not wait. */
  public void replayDelay(Duration delay) {
    core.replay().delay(delay);
    core.wakeReplication();
  }

  /** Sets how long after {@code pg_reload_conf()} the settings come in force. */
  public void reloadDelay(Duration delay) {
    core.replication().reloadDelay(delay);
  }

  /** Sets how long each statement occupies its slot besides its own work. */
  public void serviceTime(Duration time) {
    core.serviceTime(time);
  }

  /** Sets how long a new connection takes. */
  public void connectDelay(Duration delay) {
    core.connectDelay(delay);
  }

  /** Returns whether the server's process runs; a frozen one does. */
  public boolean running() {
    return core.running();
  }

  /** Returns whether the server is a replica. */
  public boolean inRecovery() {
    return core.replication().inRecovery();
  }

  /** Returns the server's timeline. */
  public int timeline() {
    return core.replication().log().timeline();
  }

  /** Returns the position just past what the server has written or received. */
  public long endLsn() {
    return core.replication().log().endLsn();
  }

  /** Returns the position up to which a replica has replayed, null on one that never did. */
  public @Nullable Long replayLsn() {
    return core.replication().snapshot().replayLsn();
  }

  /** Returns whether the server streams from its upstream. */
  public boolean streaming() {
    return core.replication().snapshot().upstream() != null;
  }

  /** Returns the server's log in commit order. */
  public List<LogRecord> log() {
    return core.replication().log().records();
  }

  /** Returns how often each statement's text was run, whether or not it committed. */
  public Map<String, Long> executions() {
    return core.executions().snapshot();
  }

  /** Returns the writes that were run, whether or not they committed, in no certain order. */
  public List<LoggedStatement> executedWrites() {
    return core.executions().writes();
  }

  /** Returns the number of open sessions. */
  public int openConnections() {
    return core.sessions().open();
  }

  /** Returns the highest number of sessions at the same time. */
  public int peakConnections() {
    return core.sessions().peak();
  }

  /** Returns how many connections were refused for lack of room. */
  public int refusedConnections() {
    return core.sessions().refused();
  }

  /** Returns the highest number of statements that ran or waited for a slot at the same time. */
  public int peakSlotDemand() {
    return core.slots().peakDemand();
  }

  /** Begins the peaks anew. */
  public void resetPeaks() {
    core.slots().resetPeak();
    core.sessions().resetPeak();
  }

  /** Returns the process id of the session that holds an advisory lock, or 0. */
  public int advisoryLockHolder(long key) {
    return core.sessions().locks().holder(key);
  }

  /** Returns what a replay did differently from the primary; empty unless the stand-in erred. */
  public List<String> replayFaults() {
    return core.replay().faults();
  }

  void close() throws SQLException {
    listener.close();
    core.close();
    core.sessions().all().forEach(Session::abandon);
    listener.closeAll();
  }

  @Override
  public String toString() {
    return name() + "@" + HOST + ":" + port();
  }
}
