package org.chicorylane.standin.database;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.sql.SQLException;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.jspecify.annotations.Nullable;

/**
 * A stand-in database group: servers in this process that speak PostgreSQL's protocol on loopback
 * ports, run SQL on an embedded engine and replicate asynchronously.
 *
 * <pre>{@code
 * try (StandInGroup group =
 *     StandInGroup.builder("plans")
 *         .servers(3)
 *         .slots(3)
 *         .connections(25)
 *         .schema("CREATE TABLE plan (id int PRIMARY KEY, state text)")
 *         .start()) {
 *   connectTo(group.server("plans-1").port()); // the primary
 *   group.server("plans-1").freeze();
 * }
 * }</pre>
 *
 * <p>Thread-safe. Traps:
 *
 * <ul>
 *   <li>The engine commits before and after a definition (CREATE, ALTER), so keep those out of
 *       transactions.
 *   <li>Replicas run a transaction's statements again in the order of commits, so a write's effect
 *       must not depend on rows that other transactions change without a conflict.
 *   <li>Positions compare as text: use {@code pg_wal_lsn_diff}.
 *   <li>Statements that act on the session or call server functions occupy no slot.
 *   <li>{@code ON CONFLICT DO UPDATE}, arrays and writes inside WITH are not supported.
 *   <li>Whoever waits for the locks of a transaction that rolled back to a savepoint keeps a
 *       processor busy until that transaction ends.
 * </ul>
 */
public final class StandInGroup implements AutoCloseable {

  private static final Duration START_TIMEOUT = Duration.ofSeconds(30);
  private static final long POLL_NANOS = Duration.ofMillis(1).toNanos();
  private static final int EVENT_LOOP_THREADS = 2;

  private final GroupCore core;
  private final EventLoopGroup loops;

  private StandInGroup(GroupOptions options) throws SQLException, SqlError {
    core = new GroupCore(options);
    loops = new MultiThreadIoEventLoopGroup(EVENT_LOOP_THREADS, NioIoHandler.newFactory());
    int primaryPort = 0;
    for (int i = 0; i < options.servers(); i++) {
      List<String> zones = options.zones();
      String zone = zones.isEmpty() ? "" : zones.get(i % zones.size());
      String name = options.name() + "-" + (i + 1);
      int port = options.firstPort() == 0 ? 0 : options.firstPort() + i;
      StandInServer server = new StandInServer(core, loops, name, zone, port, primaryPort);
      core.add(server);
      server.start();
      if (i == 0) {
        primaryPort = server.port();
      }
    }
    runSchema(options.schema());
    awaitReplication(START_TIMEOUT);
  }

  /** Begins a group with the given name; its servers are called {@code name-1}, {@code name-2}. */
  public static Builder builder(String name) {
    return new Builder(name);
  }

  private void runSchema(List<String> schema) throws SqlError {
    ServerCore primary = core.servers().get(0).core();
    try (SqlSession session = new SqlSession(primary, 0, () -> false)) {
      for (String text : schema) {
        for (String statement : StatementText.split(text)) {
          session.execute(session.prepare(statement, List.of()), List.of());
          session.transaction().commitImplicit();
        }
      }
    }
  }

  /**
   * Waits until every running replica that follows a server has replayed all that its upstream has.
   *
   * @throws IllegalStateException if that takes longer than {@code timeout}
   */
  public void awaitReplication(Duration timeout) {
    long deadline = System.nanoTime() + timeout.toNanos();
    for (StandInServer s : core.servers()) {
      while (!caughtUp(s)) {
        if (System.nanoTime() > deadline) {
          throw new IllegalStateException(
              s
                  + " has not caught up after "
                  + TimeUnit.NANOSECONDS.toMillis(timeout.toNanos())
                  + " ms");
        }
        LockSupport.parkNanos(POLL_NANOS);
      }
    }
  }

  private boolean caughtUp(StandInServer server) {
    ReplicationSnapshot s = server.core().replication().snapshot();
    ConnectionInfo info = s.setting();
    if (!s.inRecovery() || !info.present() || !server.running()) {
      return true;
    }
    ServerCore upstream = core.serverAt(info);
    if (upstream == null || s.upstream() == null) {
      return false;
    }
    long end = upstream.replication().log().endLsn();
    long replayed = s.replayLsn() == null ? ReplicationLog.FIRST_LSN : s.replayLsn();
    return replayed >= end;
  }

  /** Returns the group's name. */
  public String name() {
    return core.options().name();
  }

  /** Returns the servers; the first began as the primary. */
  public List<StandInServer> servers() {
    return List.copyOf(core.servers());
  }

  /**
   * Returns the server with the given name.
   *
   * @throws IllegalArgumentException if there is none
   */
  public StandInServer server(String name) {
    for (StandInServer s : core.servers()) {
      if (s.name().equals(name)) {
        return s;
      }
    }
    throw new IllegalArgumentException("no server \"" + name + "\" in " + core.servers());
  }

  /** Returns the running primary with the newest timeline, or null if there is none. */
  public @Nullable StandInServer newestPrimary() {
    StandInServer newest = null;
    for (StandInServer s : core.servers()) {
      boolean leads = s.running() && !s.inRecovery();
      if (leads && (newest == null || s.timeline() > newest.timeline())) {
        newest = s;
      }
    }
    return newest;
  }

  /**
   * Returns the transactions of {@code server}'s log that the newest primary does not have, in
   * commit order: what is lost if nothing brings that server's tail back.
   *
   * @throws IllegalStateException if no primary runs
   */
  public List<LogRecord> lostTransactions(StandInServer server) {
    StandInServer primary = newestPrimary();
    if (primary == null) {
      throw new IllegalStateException("no primary runs in " + core.servers());
    }
    Set<LogRecord> kept = new HashSet<>(primary.log());
    return server.log().stream().filter(r -> !r.startsTimeline() && !kept.contains(r)).toList();
  }

  /**
   * Breaks replication between {@code side} and the other servers until {@link #healPartitions}.
   */
  public void partition(StandInServer... side) {
    List<StandInServer> inside = List.of(side);
    for (StandInServer s : core.servers()) {
      if (!inside.contains(s)) {
        inside.forEach(i -> core.breakPath(i.name(), s.name()));
      }
    }
  }

  /** Lets all servers of the group reach each other again. */
  public void healPartitions() {
    core.healPaths();
    core.servers().forEach(s -> s.core().wakeReplication());
  }

  /** Ends all servers and their connections. */
  @Override
  public void close() {
    for (StandInServer s : core.servers()) {
      try {
        s.close();
      } catch (SQLException e) {
        throw new IllegalStateException("cannot close " + s, e);
      }
    }
    core.close();
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  /**
   * Collects what a group is made of.
   *
   * <p>Not thread-safe.
   */
  public static final class Builder {

    private static final int DEFAULT_SERVERS = 3;
    private static final int DEFAULT_SLOTS = 3;
    private static final int DEFAULT_CONNECTIONS = 25;

    private final String name;
    private int servers = DEFAULT_SERVERS;
    private int firstPort;
    private int slots = DEFAULT_SLOTS;
    private int connections = DEFAULT_CONNECTIONS;
    private @Nullable String password;
    private InstantSource clock = InstantSource.system();
    private final List<String> zones = new ArrayList<>();
    private final List<String> schema = new ArrayList<>();

    private Builder(String name) {
      this.name = name;
    }

    /** Sets the number of servers, at least one. */
    public Builder servers(int count) {
      if (count < 1) {
        throw new IllegalArgumentException("a group needs at least one server, not " + count);
      }
      servers = count;
      return this;
    }

    /** Sets the port of the first server, which the others follow; 0 takes free ones. */
    public Builder firstPort(int port) {
      firstPort = port;
      return this;
    }

    /** Sets the availability zones, which the servers take in turn. */
    public Builder zones(String... names) {
      zones.addAll(List.of(names));
      return this;
    }

    /** Sets how many statements a server runs at the same time. */
    public Builder slots(int count) {
      slots = count;
      return this;
    }

    /** Sets how many connections a server accepts. */
    public Builder connections(int count) {
      connections = count;
      return this;
    }

    /** Demands this cleartext password; without it every client is trusted. */
    public Builder password(String value) {
      password = value;
      return this;
    }

    /** Adds statements that the primary runs and logs first. */
    public Builder schema(String... statements) {
      schema.addAll(List.of(statements));
      return this;
    }

    /** Sets the clock that {@code now()} and the servers' start times are read from. */
    public Builder clock(InstantSource value) {
      clock = value;
      return this;
    }

    /**
     * Starts the servers and waits until the replicas have the schema.
     *
     * @throws IllegalStateException if the schema or a server fails
     */
    public StandInGroup start() {
      GroupOptions options =
          new GroupOptions(
              name,
              servers,
              firstPort,
              List.copyOf(zones),
              slots,
              connections,
              password,
              List.copyOf(schema),
              clock);
      try {
        return new StandInGroup(options);
      } catch (SQLException | SqlError e) {
        throw new IllegalStateException("cannot start group " + name + ": " + e.getMessage(), e);
      }
    }
  }
}
