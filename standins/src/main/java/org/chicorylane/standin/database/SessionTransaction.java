package org.chicorylane.standin.database;

import java.sql.Connection;
import java.sql.SQLException;
import java.sql.Savepoint;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.BooleanSupplier;

/**
 * The transaction of one session: its status, modes, savepoints and the writes to log.
 *
 * <p>Used by one thread at a time.
 */
final class SessionTransaction {

  /** A savepoint and the number of writes before it. */
  private record Mark(Savepoint savepoint, int writesBefore) {}

  private final ServerCore server;
  private final Connection connection;
  private final long incarnation;
  private final BooleanSupplier cancelled;
  private final List<LoggedStatement> writes = new ArrayList<>();
  private final Map<String, Mark> marks = new LinkedHashMap<>();
  private TransactionStatus status = TransactionStatus.IDLE;
  private boolean holdsLocks;
  private boolean readOnly;
  private boolean readOnlyByDefault;

  SessionTransaction(
      ServerCore server, Connection connection, long incarnation, BooleanSupplier cancelled) {
    this.server = server;
    this.connection = connection;
    this.incarnation = incarnation;
    this.cancelled = cancelled;
  }

  TransactionStatus status() {
    return status;
  }

  /** Returns whether writes are refused, by the transaction's mode or because of recovery. */
  boolean refusesWrites() {
    return readOnly || server.replication().inRecovery();
  }

  /** Returns whether statements of this transaction may have locked rows. */
  boolean holdsLocks() {
    return holdsLocks;
  }

  /** Notes that a statement runs, which may lock rows. */
  void noteLocks(boolean locks) {
    holdsLocks |= locks;
  }

  /** Adds a write to what the log will carry. */
  void logWrite(LoggedStatement write) {
    writes.add(write);
  }

  /** Begins a transaction by the server's own decision unless there is one. */
  void beginImplicit() {
    if (status == TransactionStatus.IDLE) {
      status = TransactionStatus.IMPLICIT;
      readOnly = readOnlyByDefault;
    }
  }

  void begin(String modes) throws SqlError {
    if (status == TransactionStatus.BLOCK) {
      return;
    }
    readOnly = readOnlyByDefault;
    modes(modes);
    status = TransactionStatus.BLOCK;
  }

  void modes(String modes) throws SqlError {
    String text = modes.toUpperCase(Locale.ROOT);
    if (text.contains("READ ONLY")) {
      readOnly = true;
    } else if (text.contains("READ WRITE")) {
      if (server.replication().inRecovery()) {
        throw new SqlError("0A000", "cannot set transaction read-write mode during recovery");
      }
      readOnly = false;
    }
    try {
      if (text.contains("SERIALIZABLE")) {
        connection.setTransactionIsolation(Connection.TRANSACTION_SERIALIZABLE);
      } else if (text.contains("REPEATABLE READ")) {
        connection.setTransactionIsolation(Connection.TRANSACTION_REPEATABLE_READ);
      }
    } catch (SQLException e) {
      throw SqlError.of(e);
    }
  }

  void defaults(String modes) {
    String text = modes.toUpperCase(Locale.ROOT);
    if (text.contains("READ ONLY")) {
      readOnlyByDefault = true;
    } else if (text.contains("READ WRITE")) {
      readOnlyByDefault = false;
    }
  }

  /** Commits, or rolls a failed transaction back, and returns the tag that says which. */
  String commit() throws SqlError {
    if (status == TransactionStatus.FAILED) {
      rollback();
      return "ROLLBACK";
    }
    try {
      if (writes.isEmpty()) {
        server.gate().pass();
        connection.commit();
      } else {
        server.replication().commit(connection, incarnation, writes, cancelled);
      }
    } catch (SQLException e) {
      throw SqlError.of(e);
    } finally {
      finish();
    }
    return "COMMIT";
  }

  /** Commits the transaction that the server began by itself, if there is one. */
  void commitImplicit() throws SqlError {
    if (status == TransactionStatus.IMPLICIT) {
      commit();
    }
  }

  void rollback() throws SqlError {
    try {
      connection.rollback();
    } catch (SQLException e) {
      throw SqlError.of(e);
    } finally {
      finish();
    }
  }

  private void finish() {
    writes.clear();
    marks.clear();
    holdsLocks = false;
    readOnly = false;
    status = TransactionStatus.IDLE;
    try {
      if (connection.getTransactionIsolation() != Connection.TRANSACTION_READ_COMMITTED) {
        connection.setTransactionIsolation(Connection.TRANSACTION_READ_COMMITTED);
      }
    } catch (SQLException e) {
      // The engine was replaced while the session was open; the session ends with its next step.
      return;
    }
  }

  /** Notes that a statement failed: a block waits for its rollback, anything else ends. */
  void fail() throws SqlError {
    if (!status.open()) {
      rollback();
      return;
    }
    status = TransactionStatus.FAILED;
    if (marks.isEmpty()) {
      try {
        connection.rollback();
      } catch (SQLException e) {
        throw SqlError.of(e);
      }
    }
  }

  void savepoint(String name) throws SqlError {
    try {
      marks.put(name, new Mark(connection.setSavepoint(name), writes.size()));
    } catch (SQLException e) {
      throw SqlError.of(e);
    }
  }

  void rollbackTo(String name) throws SqlError {
    Mark mark = marks.get(name);
    if (mark == null) {
      throw new SqlError(SqlError.INVALID_SAVEPOINT, "savepoint \"" + name + "\" does not exist");
    }
    try {
      connection.rollback(mark.savepoint());
    } catch (SQLException e) {
      throw SqlError.of(e);
    }
    writes.subList(mark.writesBefore(), writes.size()).clear();
    status = TransactionStatus.BLOCK;
  }
}
