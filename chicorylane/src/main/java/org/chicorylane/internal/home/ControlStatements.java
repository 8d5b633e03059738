package org.chicorylane.internal.home;

import org.chicorylane.internal.backend.ConnectionPurpose;
import org.chicorylane.internal.declaration.BackendServer;
import org.chicorylane.internal.declaration.DatabaseGroup;
import org.chicorylane.internal.failover.FailoverTimings;

/**
 * The SQL that a home runs on control connections, all of it documented PostgreSQL.
 *
 * <p>Stateless and thread-safe.
 */
final class ControlStatements {
  /** The advisory lock whose holder is the home of the server's group. */
  static final long HOME_LOCK_KEY = 0x6368_6963_6f72_79L;

  static final String SET_IDLE_TIMEOUT =
      "SET idle_session_timeout = " + FailoverTimings.IDLE_SESSION_TIMEOUT.toMillis();

  static final String TRY_LOCK = "SELECT pg_try_advisory_lock(" + HOME_LOCK_KEY + ")";

  static final String END_WORK =
      "SELECT count(pg_terminate_backend(pid)) FROM pg_stat_activity WHERE application_name LIKE '"
          + ConnectionPurpose.WORK.applicationName()
          + "%' AND pid <> pg_backend_pid()";

  static final String COUNT_WORK =
      "SELECT count(*) FROM pg_stat_activity WHERE application_name LIKE '"
          + ConnectionPurpose.WORK.applicationName()
          + "%' AND pid <> pg_backend_pid()";

  static final String OBSERVE =
      "SELECT pg_is_in_recovery(),"
          + " COALESCE((SELECT received_tli FROM pg_stat_wal_receiver),"
          + " (SELECT timeline_id FROM pg_control_checkpoint())),"
          + " CASE WHEN pg_is_in_recovery() THEN pg_last_wal_receive_lsn()"
          + " ELSE pg_current_wal_lsn() END::text,"
          + " CASE WHEN pg_is_in_recovery() THEN pg_last_wal_replay_lsn()"
          + " ELSE pg_current_wal_lsn() END::text,"
          + " current_setting('primary_conninfo')";

  static final String STOP_FOLLOWING = "ALTER SYSTEM SET primary_conninfo = ''";
  static final String RELOAD = "SELECT pg_reload_conf()";
  static final String COUNT_RECEIVERS = "SELECT count(*) FROM pg_stat_wal_receiver";
  static final String PROMOTE = "SELECT pg_promote(true, 10)";

  private ControlStatements() {}

  /** Ends control sessions that carry the same application name: those of this process. */
  static String endOwnSessions(String applicationName) {
    return "SELECT count(pg_terminate_backend(pid)) FROM pg_stat_activity WHERE application_name"
        + " = '"
        + applicationName
        + "' AND pid <> pg_backend_pid()";
  }

  static String follow(DatabaseGroup group, BackendServer upstream) {
    String connection =
        "host=" + upstream.host() + " port=" + upstream.port() + " user=" + group.user();
    if (!group.password().isEmpty()) {
      connection += " password=" + connectionValue(group.password());
    }
    return "ALTER SYSTEM SET primary_conninfo = '" + connection.replace("'", "''") + "'";
  }

  /** Quotes a value as connection strings want it. */
  private static String connectionValue(String value) {
    return "'" + value.replace("\\", "\\\\").replace("'", "\\'") + "'";
  }
}
