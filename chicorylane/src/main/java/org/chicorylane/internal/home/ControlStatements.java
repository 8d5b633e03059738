package org.chicorylane.internal.home;

import org.chicorylane.internal.backend.ConnectionPurpose;
import org.chicorylane.internal.declaration.BackendServer;
import org.chicorylane.internal.declaration.DatabaseGroup;
import org.chicorylane.internal.failover.FailoverTimings;

/**
 * The SQL that a home runs on control connections; all of it is documented PostgreSQL.
 *
 * <p>Stateless and thread-safe.
 */
final class ControlStatements {
  /**
   * The key of the advisory lock that the home of the group holds on each of its servers, which
   * makes it the only home; the key is "chicory" in ASCII.
   */
  static final long HOME_LOCK_KEY = 0x6368_6963_6f72_79L;

  static final String SET_IDLE_TIMEOUT =
      "SET idle_session_timeout = " + FailoverTimings.IDLE_SESSION_TIMEOUT.toMillis();

  static final String TRY_LOCK = "SELECT pg_try_advisory_lock(" + HOME_LOCK_KEY + ")";

  static final String TERMINATE_WORK_SESSIONS =
      "SELECT count(pg_terminate_backend(pid)) FROM pg_stat_activity WHERE application_name LIKE '"
          + ConnectionPurpose.WORK.applicationName()
          + "%' AND pid <> pg_backend_pid()";

  static final String COUNT_WORK_SESSIONS =
      "SELECT count(*) FROM pg_stat_activity WHERE application_name LIKE '"
          + ConnectionPurpose.WORK.applicationName()
          + "%' AND pid <> pg_backend_pid()";

  /** Columns: in recovery, timeline, received position, replayed position, upstream. */
  static final String OBSERVE =
      "SELECT pg_is_in_recovery(),"
          + " COALESCE((SELECT received_tli FROM pg_stat_wal_receiver),"
          + " (SELECT timeline_id FROM pg_control_checkpoint())),"
          + " CASE WHEN pg_is_in_recovery() THEN pg_last_wal_receive_lsn()"
          + " ELSE pg_current_wal_lsn() END::text,"
          + " CASE WHEN pg_is_in_recovery() THEN pg_last_wal_replay_lsn()"
          + " ELSE pg_current_wal_lsn() END::text,"
          + " current_setting('primary_conninfo')";

  static final String CLEAR_UPSTREAM = "ALTER SYSTEM SET primary_conninfo = ''";
  static final String RELOAD = "SELECT pg_reload_conf()";
  static final String COUNT_WAL_RECEIVERS = "SELECT count(*) FROM pg_stat_wal_receiver";
  static final String PROMOTE = "SELECT pg_promote(true, 10)";

  private ControlStatements() {}

  /**
   * Returns a query that ends the other sessions with the same application name, which are control
   * sessions of this process.
   */
  static String terminateOwnSessions(String applicationName) {
    return "SELECT count(pg_terminate_backend(pid)) FROM pg_stat_activity WHERE application_name"
        + " = '"
        + applicationName
        + "' AND pid <> pg_backend_pid()";
  }

  /** Returns a statement that makes a replica stream from {@code upstream} after a reload. */
  static String setUpstream(DatabaseGroup group, BackendServer upstream) {
    String connection =
        "host=" + upstream.host() + " port=" + upstream.port() + " user=" + group.user();
    if (!group.password().isEmpty()) {
      connection += " password=" + quoteConnectionValue(group.password());
    }
    return "ALTER SYSTEM SET primary_conninfo = '" + connection.replace("'", "''") + "'";
  }

  /** Quotes a value for a libpq connection string. */
  private static String quoteConnectionValue(String value) {
    return "'" + value.replace("\\", "\\\\").replace("'", "\\'") + "'";
  }
}
