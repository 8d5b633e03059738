package org.chicorylane.standin.database;

import java.sql.Connection;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;

/**
 * Runs the statements of one session on the embedded engine and keeps its transaction.
 *
 * <p>Used by one thread at a time, but for {@link #cancel}.
 */
final class SqlSession implements AutoCloseable {

  private static final int CACHED_STATEMENTS = 64;
  private static final Duration LOCK_TIMEOUT = Duration.ofSeconds(10);

  private final ServerCore server;
  private final int pid;
  private final long incarnation;
  private final BooleanSupplier cancelled;
  private final SessionSettings settings = new SessionSettings();
  private final Connection connection;
  private final SessionTransaction transaction;
  private final Map<String, PreparedStatement> statements =
      new LinkedHashMap<>(CACHED_STATEMENTS, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, PreparedStatement> eldest) {
          return size() > CACHED_STATEMENTS;
        }
      };
  private volatile @Nullable PreparedStatement running;

  /**
   * Opens a session on a server's engine.
   *
   * @param cancelled tells whether the session was ended, so that it commits nothing any more
   */
  SqlSession(ServerCore server, int pid, BooleanSupplier cancelled) throws SqlError {
    this.server = server;
    this.pid = pid;
    this.incarnation = server.incarnation();
    this.cancelled = cancelled;
    try {
      connection = server.engine().connect(LOCK_TIMEOUT);
    } catch (SQLException e) {
      throw SqlError.of(e);
    }
    transaction = new SessionTransaction(server, connection, incarnation, cancelled);
  }

  ServerCore server() {
    return server;
  }

  int pid() {
    return pid;
  }

  SessionSettings settings() {
    return settings;
  }

  SessionTransaction transaction() {
    return transaction;
  }

  /** Prepares a statement; {@code declared} holds the client's types, 0 where it gave none. */
  PreparedSql prepare(String sql, List<Integer> declared) throws SqlError {
    StatementText text = StatementText.of(sql);
    ControlStatement.Match control = text.control();
    if (control != null) {
      return new PreparedSql(text, List.of(), control.columns());
    }
    if (text.kind() == StatementKind.EMPTY) {
      return new PreparedSql(text, List.of(), List.of());
    }
    if (transaction.status() == TransactionStatus.FAILED) {
      throw failedTransaction();
    }
    ServerFunctions.enter(new FunctionContext(server, pid));
    try {
      PreparedStatement statement = engineStatement(text.engineSql());
      return new PreparedSql(
          text,
          TypeInference.parameterTypes(text, declared, statement, connection),
          TypeInference.columns(text, statement.getMetaData()));
    } catch (SQLException e) {
      throw SqlError.of(e);
    } finally {
      ServerFunctions.exit();
    }
  }

  /** Runs a prepared statement. */
  Result execute(PreparedSql prepared, List<@Nullable Object> parameters) throws SqlError {
    StatementText text = prepared.text();
    ControlStatement.Match control = text.control();
    if (transaction.status() == TransactionStatus.FAILED
        && (control == null || !control.statement().endsFailure())) {
      throw failedTransaction();
    }
    if (control != null) {
      return control.run(this);
    }
    transaction.beginImplicit();
    if (text.kind().locksOrWrites() && transaction.refusesWrites()) {
      throw SqlError.readOnly(text.keyword());
    }
    server.executions().count(text.sql());
    if (text.kind().writes()) {
      server.executions().write(text.sql(), parameters);
    }
    return text.usesServerFunctions() ? run(prepared, parameters) : runInSlot(prepared, parameters);
  }

  private Result runInSlot(PreparedSql prepared, List<@Nullable Object> parameters)
      throws SqlError {
    boolean occupied = server.slots().enter(transaction.holdsLocks());
    try {
      Duration serviceTime = server.serviceTime();
      if (!serviceTime.isZero()) {
        LockSupport.parkNanos(serviceTime.toNanos());
      }
      server.gate().pass();
      if (cancelled.getAsBoolean() || incarnation != server.incarnation()) {
        throw SqlError.shutDown();
      }
      return run(prepared, parameters);
    } finally {
      server.slots().leave(occupied);
    }
  }

  private Result run(PreparedSql prepared, List<@Nullable Object> parameters) throws SqlError {
    StatementText text = prepared.text();
    boolean writes = text.kind().writes();
    String engineSql = writes ? text.deterministicSql(server.now().toString()) : text.engineSql();
    ServerFunctions.enter(new FunctionContext(server, pid));
    try {
      PreparedStatement statement = engineStatement(engineSql);
      Parameters.bind(statement, parameters);
      running = statement;
      transaction.noteLocks(text.kind().locksOrWrites());
      boolean hasRows = statement.execute();
      List<@Nullable Object[]> rows =
          hasRows ? rows(statement.getResultSet(), prepared.columns()) : List.of();
      long count = hasRows ? rows.size() : updateCount(statement, false);
      if (writes) {
        transaction.logWrite(new LoggedStatement(text.sql(), engineSql, parameters, count));
      }
      return new Result(text.kind().tag(text.keyword(), count), prepared.columns(), rows);
    } catch (SQLException e) {
      throw SqlError.of(e);
    } finally {
      running = null;
      ServerFunctions.exit();
    }
  }

  /** Returns the number of rows that a run statement changed or returned. */
  static long updateCount(PreparedStatement statement, boolean hasRows) throws SQLException {
    if (!hasRows) {
      return Math.max(statement.getLargeUpdateCount(), 0);
    }
    long count = 0;
    try (ResultSet rows = statement.getResultSet()) {
      while (rows.next()) {
        count++;
      }
    }
    return count;
  }

  private static List<@Nullable Object[]> rows(ResultSet results, List<Column> columns)
      throws SQLException {
    List<@Nullable Object[]> rows = new ArrayList<>();
    try (results) {
      while (results.next()) {
        @Nullable Object[] row = new @Nullable Object[columns.size()];
        for (int i = 0; i < row.length; i++) {
          row[i] = columns.get(i).type().read(results, i + 1);
        }
        rows.add(row);
      }
    }
    return rows;
  }

  private PreparedStatement engineStatement(String sql) throws SQLException {
    PreparedStatement statement = statements.get(sql);
    if (statement == null) {
      statement = connection.prepareStatement(sql);
      statements.put(sql, statement);
    }
    return statement;
  }

  String show(String name) throws SqlError {
    ReplicationSnapshot snapshot = server.replication().snapshot();
    String value =
        switch (name) {
          case "primary_conninfo" -> snapshot.setting().text();
          case "transaction_read_only" -> transaction.refusesWrites() ? "on" : "off";
          case "in_hot_standby" -> snapshot.inRecovery() ? "on" : "off";
          default -> settings.get(name);
        };
    if (value == null) {
      throw new SqlError("42704", "unrecognized configuration parameter \"" + name + "\"");
    }
    return value;
  }

  void alterSystem(String name, String value) throws SqlError {
    if (!name.equalsIgnoreCase("primary_conninfo")) {
      throw new SqlError("42704", "unrecognized configuration parameter \"" + name + "\"");
    }
    server.replication().upstreamSetting(value);
  }

  /** Stops the running statement, if there is one; called by any thread. */
  void cancel() {
    PreparedStatement statement = running;
    if (statement == null) {
      return;
    }
    try {
      statement.cancel();
    } catch (SQLException e) {
      // The statement has just ended: nothing is left to cancel.
      return;
    }
  }

  private static SqlError failedTransaction() {
    return new SqlError(
        SqlError.FAILED_TRANSACTION,
        "current transaction is aborted, commands ignored until end of transaction block");
  }

  @Override
  public void close() {
    try {
      connection.rollback();
      connection.close();
    } catch (SQLException e) {
      // The engine was replaced while the session was open; its data is gone as well.
      return;
    }
  }
}
