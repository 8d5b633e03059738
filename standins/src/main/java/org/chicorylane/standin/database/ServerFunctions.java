package org.chicorylane.standin.database;

import java.math.BigDecimal;
import java.sql.Connection;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Types;
import java.time.OffsetDateTime;
import java.util.ArrayList;
import java.util.List;
import org.h2.tools.SimpleResultSet;
import org.jspecify.annotations.Nullable;

/**
 * PostgreSQL's server functions for the embedded engine, which calls them by name through
 * reflection. Not meant to be called by anything else.
 *
 * <pre>{@code
 * SELECT pg_is_in_recovery(), pg_last_wal_replay_lsn()::text
 * }</pre>
 *
 * <p>A function works for the session whose statement runs on the calling thread; all functions of
 * one statement see the replication state of one moment.
 */
public final class ServerFunctions {

  private static final ThreadLocal<@Nullable FunctionContext> CONTEXT = new ThreadLocal<>();
  private static final List<String> SCALAR_FUNCTIONS =
      List.of(
          "pg_is_in_recovery",
          "pg_current_wal_lsn",
          "pg_last_wal_receive_lsn",
          "pg_last_wal_replay_lsn",
          "pg_wal_lsn_diff",
          "pg_promote",
          "pg_reload_conf",
          "pg_postmaster_start_time",
          "pg_backend_pid",
          "pg_try_advisory_lock",
          "pg_advisory_unlock",
          "pg_advisory_unlock_all",
          "pg_terminate_backend",
          "pg_sleep",
          "current_setting");
  private static final List<String> TABLE_FUNCTIONS =
      List.of("pg_control_checkpoint", "pg_stat_wal_receiver", "pg_stat_activity");

  private ServerFunctions() {}

  /** Returns the statements that make the functions known to an engine. */
  static List<String> declarations() {
    List<String> statements = new ArrayList<>();
    statements.add("CREATE DOMAIN pg_lsn AS varchar");
    statements.add("CREATE DOMAIN timestamptz AS timestamp with time zone");
    for (String name : SCALAR_FUNCTIONS) {
      statements.add(declaration(name));
    }
    for (String name : TABLE_FUNCTIONS) {
      statements.add(declaration(name));
    }
    return statements;
  }

  /** Returns the functions that stand for system views, which are called without parentheses. */
  static List<String> views() {
    return List.of("pg_stat_wal_receiver", "pg_stat_activity");
  }

  static void enter(FunctionContext context) {
    CONTEXT.set(context);
  }

  static void exit() {
    CONTEXT.remove();
  }

  private static String declaration(String name) {
    StringBuilder method = new StringBuilder();
    for (String word : name.split("_", -1)) {
      method.append(
          method.isEmpty() ? word : Character.toUpperCase(word.charAt(0)) + word.substring(1));
    }
    return "CREATE ALIAS " + name + " FOR '" + ServerFunctions.class.getName() + "." + method + "'";
  }

  private static FunctionContext context() throws SQLException {
    FunctionContext context = CONTEXT.get();
    if (context == null) {
      throw new SQLException("a server function was called outside a session's statement");
    }
    return context;
  }

  private static SQLException failure(SqlError error) {
    return new SQLException(error.getMessage(), error.state(), error);
  }

  private static @Nullable String format(@Nullable Long lsn) {
    return lsn == null ? null : Lsn.format(lsn);
  }

  /** Returns whether the server is a replica. */
  public static boolean pgIsInRecovery() throws SQLException {
    return context().snapshot().inRecovery();
  }

  /** Returns the end of a primary's log; fails with 55000 on a replica. */
  public static String pgCurrentWalLsn() throws SQLException {
    ReplicationSnapshot s = context().snapshot();
    if (s.inRecovery()) {
      throw failure(new SqlError(SqlError.NOT_IN_PREREQUISITE_STATE, "recovery is in progress"));
    }
    return Lsn.format(s.endLsn());
  }

  /** Returns the position up to which the server received by streaming, or null. */
  public static @Nullable String pgLastWalReceiveLsn() throws SQLException {
    return format(context().snapshot().receiveLsn());
  }

  /** Returns the position up to which the server replayed, or null. */
  public static @Nullable String pgLastWalReplayLsn() throws SQLException {
    return format(context().snapshot().replayLsn());
  }

  /** Returns the bytes between two positions, or null if one is null. */
  public static @Nullable BigDecimal pgWalLsnDiff(@Nullable String first, @Nullable String second) {
    if (first == null || second == null) {
      return null;
    }
    return BigDecimal.valueOf(Lsn.parse(first) - Lsn.parse(second));
  }

  /** Promotes a replica and waits until it is a primary; fails with 55000 on a primary. */
  public static boolean pgPromote() throws SQLException {
    return pgPromote(true, 60);
  }

  /** Promotes a replica; fails with 55000 on a primary. */
  public static boolean pgPromote(boolean wait, int waitSeconds) throws SQLException {
    try {
      return context().promote(wait, waitSeconds);
    } catch (SqlError e) {
      throw failure(e);
    }
  }

  /** Puts the settings that ALTER SYSTEM changed in force. */
  public static boolean pgReloadConf() throws SQLException {
    context().reload();
    return true;
  }

  /** Returns when the server started. */
  public static OffsetDateTime pgPostmasterStartTime() throws SQLException {
    return context().startTime();
  }

  /** Returns the number of the session's process. */
  public static int pgBackendPid() throws SQLException {
    return context().pid();
  }

  /** Takes a session-level advisory lock if no other session holds it. */
  public static boolean pgTryAdvisoryLock(long key) throws SQLException {
    return context().locks().tryLock(key, context().pid());
  }

  /** Releases a session-level advisory lock; returns whether the session held it. */
  public static boolean pgAdvisoryUnlock(long key) throws SQLException {
    return context().locks().unlock(key, context().pid());
  }

  /** Releases the session's advisory locks. */
  public static @Nullable String pgAdvisoryUnlockAll() throws SQLException {
    context().locks().releaseAll(context().pid());
    return null;
  }

  /** Ends another session; returns whether there is one with that process. */
  public static boolean pgTerminateBackend(int pid) throws SQLException {
    return context().terminate(pid);
  }

  /** Ends another session; nothing of it commits after this returns, so it need not wait. */
  public static boolean pgTerminateBackend(int pid, long timeoutMillis) throws SQLException {
    return context().terminate(pid);
  }

  /** Returns the {@code primary_conninfo} in force, the only setting that is known here. */
  public static String currentSetting(String name) throws SQLException {
    if (!name.equalsIgnoreCase("primary_conninfo")) {
      String message = "unrecognized configuration parameter \"" + name + "\"";
      throw failure(new SqlError("42704", message));
    }
    return context().snapshot().setting().text();
  }

  /** Waits for a number of seconds. */
  public static @Nullable String pgSleep(double seconds) throws SQLException {
    context().sleep(seconds);
    return null;
  }

  /** Returns the server's timeline as a table of one row. */
  public static ResultSet pgControlCheckpoint(Connection connection) throws SQLException {
    SimpleResultSet rows = table();
    rows.addColumn("checkpoint_lsn", Types.VARCHAR, 0, 0);
    rows.addColumn("timeline_id", Types.INTEGER, 0, 0);
    if (!forMetadata(connection)) {
      ReplicationSnapshot s = context().snapshot();
      rows.addRow(Lsn.format(s.endLsn()), s.timeline());
    }
    return rows;
  }

  /** Returns the state of the receiver; no row while it does not stream. */
  public static ResultSet pgStatWalReceiver(Connection connection) throws SQLException {
    SimpleResultSet rows = table();
    rows.addColumn("pid", Types.INTEGER, 0, 0);
    rows.addColumn("status", Types.VARCHAR, 0, 0);
    rows.addColumn("received_tli", Types.INTEGER, 0, 0);
    rows.addColumn("flushed_lsn", Types.VARCHAR, 0, 0);
    rows.addColumn("sender_host", Types.VARCHAR, 0, 0);
    rows.addColumn("sender_port", Types.INTEGER, 0, 0);
    if (forMetadata(connection)) {
      return rows;
    }
    ReplicationSnapshot s = context().snapshot();
    ConnectionInfo upstream = s.upstream();
    if (upstream != null) {
      rows.addRow(
          1, "streaming", s.timeline(), Lsn.format(s.endLsn()), upstream.host(), upstream.port());
    }
    return rows;
  }

  /** Returns a row for each session. */
  public static ResultSet pgStatActivity(Connection connection) throws SQLException {
    SimpleResultSet rows = table();
    rows.addColumn("pid", Types.INTEGER, 0, 0);
    rows.addColumn("application_name", Types.VARCHAR, 0, 0);
    rows.addColumn("state", Types.VARCHAR, 0, 0);
    rows.addColumn("backend_type", Types.VARCHAR, 0, 0);
    if (!forMetadata(connection)) {
      for (SessionActivity a : context().activity()) {
        rows.addRow(a.pid(), a.applicationName(), a.state(), "client backend");
      }
    }
    return rows;
  }

  private static SimpleResultSet table() {
    SimpleResultSet rows = new SimpleResultSet();
    rows.setAutoClose(false);
    return rows;
  }

  private static boolean forMetadata(Connection connection) throws SQLException {
    return "jdbc:columnlist:connection".equals(connection.getMetaData().getURL());
  }
}
