package org.chicorylane.standin.database;

import java.sql.SQLException;
import java.util.Map;

/** An error that a server reports to its client, with PostgreSQL's SQLSTATE. */
final class SqlError extends Exception {

  static final String READ_ONLY_TRANSACTION = "25006";
  static final String FAILED_TRANSACTION = "25P02";
  static final String NOT_IN_PREREQUISITE_STATE = "55000";
  static final String TOO_MANY_CONNECTIONS = "53300";
  static final String ADMIN_SHUTDOWN = "57P01";
  static final String CANNOT_CONNECT_NOW = "57P03";
  static final String IDLE_SESSION_TIMEOUT = "57P05";
  static final String IDLE_IN_TRANSACTION_TIMEOUT = "25P03";
  static final String INVALID_PASSWORD = "28P01";
  static final String PROTOCOL_VIOLATION = "08P01";
  static final String INVALID_STATEMENT_NAME = "26000";
  static final String INVALID_CURSOR_NAME = "34000";
  static final String INVALID_TEXT_REPRESENTATION = "22P02";
  static final String INVALID_SAVEPOINT = "3B001";
  static final String LOCK_NOT_AVAILABLE = "55P03";
  static final String INTERNAL_ERROR = "XX000";

  private static final Map<String, String> STATE_BY_H2_STATE =
      Map.ofEntries(
          Map.entry("42S01", "42P07"),
          Map.entry("42S02", "42P01"),
          Map.entry("42S03", "42P01"),
          Map.entry("42S04", "42P01"),
          Map.entry("42S22", "42703"),
          Map.entry("42S21", "42701"),
          Map.entry("42000", "42601"),
          Map.entry("42001", "42601"),
          Map.entry("22001", "22001"),
          Map.entry("22003", "22003"),
          Map.entry("22007", "22007"),
          Map.entry("22012", "22012"),
          Map.entry("22018", "22P02"),
          Map.entry("23502", "23502"),
          Map.entry("23503", "23503"),
          Map.entry("23505", "23505"),
          Map.entry("23506", "23503"),
          Map.entry("23513", "23514"),
          Map.entry("40001", "40P01"),
          Map.entry("57014", "57014"),
          Map.entry("HYT00", LOCK_NOT_AVAILABLE),
          Map.entry("90022", "42883"));

  private static final String NULL_NOT_ALLOWED = "23502";

  private final String state;

  SqlError(String state, String message) {
    super(message);
    this.state = state;
  }

  private SqlError(String state, String message, Throwable cause) {
    super(message, cause);
    this.state = state;
  }

  /** Returns the error a client gets for one of the embedded engine. */
  static SqlError of(SQLException e) {
    String engineState = e.getSQLState() == null ? INTERNAL_ERROR : e.getSQLState();
    String message = e.getMessage() == null ? engineState : e.getMessage();
    for (Throwable c = e.getCause(); c != null; c = c.getCause()) {
      if (c instanceof SqlError error) {
        return error;
      }
    }
    if (message.contains("NULL not allowed")) {
      return new SqlError(NULL_NOT_ALLOWED, message, e);
    }
    String state = STATE_BY_H2_STATE.get(engineState);
    if (state == null) {
      state = engineState.startsWith("22") ? engineState : INTERNAL_ERROR;
    }
    return new SqlError(state, message, e);
  }

  static SqlError readOnly(String command) {
    return new SqlError(
        READ_ONLY_TRANSACTION, "cannot execute " + command + " in a read-only transaction");
  }

  static SqlError shutDown() {
    return new SqlError(ADMIN_SHUTDOWN, "terminating connection due to administrator command");
  }

  String state() {
    return state;
  }
}
