package org.chicorylane.internal.backend;

import io.vertx.core.Future;
import io.vertx.pgclient.PgConnection;
import io.vertx.pgclient.PgException;
import io.vertx.sqlclient.Row;
import io.vertx.sqlclient.RowSet;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.chicorylane.internal.statement.SqlValue;
import org.chicorylane.internal.statement.Statement;
import org.chicorylane.internal.statement.StatementResult;

/**
 * A connection to a backend server.
 *
 * <pre>{@code
 * connection.run(List.of(new Statement("SELECT 1", List.of())))
 *     .thenAccept(outcomes -> ...);
 * }</pre>
 *
 * <p>The statements of one {@link #run} are pipelined and run in order. Callers must wait for one
 * {@code run} to complete before the next. Futures complete on the threads of the PostgreSQL
 * client, never exceptionally.
 */
public final class ServerConnection {
  private static final String INVALID_PARAMETER = "22023";

  private final PgConnection connection;
  private final String serverStart;
  private final AtomicBoolean closed = new AtomicBoolean();
  private volatile Runnable closeListener = () -> {};

  ServerConnection(PgConnection connection, String serverStart) {
    this.connection = connection;
    this.serverStart = serverStart;
    connection.closeHandler(v -> onClosed());
    connection.exceptionHandler(e -> {});
  }

  /**
   * Runs statements in order, pipelined.
   *
   * @return a future with one outcome for each statement, in order
   */
  public CompletableFuture<List<StatementOutcome>> run(List<Statement> statements) {
    List<CompletableFuture<StatementOutcome>> outcomes = new ArrayList<>(statements.size());
    for (Statement s : statements) {
      outcomes.add(runOne(s));
    }
    return CompletableFuture.allOf(outcomes.toArray(CompletableFuture[]::new))
        .thenApply(v -> outcomes.stream().map(CompletableFuture::join).toList());
  }

  /** Returns the start time of the server process as the server reports it; changes on restart. */
  public String serverStart() {
    return serverStart;
  }

  /** Runs one statement without parameters over the simple query protocol. */
  public CompletableFuture<StatementOutcome> runSimpleQuery(String sql) {
    return outcome(connection.query(sql).execute());
  }

  /** Sets a listener that is called once when the connection has closed for any reason. */
  public void onClose(Runnable listener) {
    closeListener = listener;
    if (closed.get()) {
      listener.run();
    }
  }

  /** Returns whether the connection is not known to be closed. */
  public boolean isOpen() {
    return !closed.get();
  }

  /** Closes the connection; running statements complete as lost. */
  public void close() {
    connection.close();
  }

  private void onClosed() {
    if (closed.compareAndSet(false, true)) {
      closeListener.run();
    }
  }

  private CompletableFuture<StatementOutcome> runOne(Statement s) {
    if (s.parameters().isEmpty()) {
      return outcome(connection.preparedQuery(s.sql()).execute());
    }
    return outcome(connection.preparedQuery(s.sql()).execute(ValueMapper.toTuple(s.parameters())));
  }

  private static CompletableFuture<StatementOutcome> outcome(Future<RowSet<Row>> running) {
    CompletableFuture<StatementOutcome> outcome = new CompletableFuture<>();
    running.onComplete(r -> outcome.complete(r.succeeded() ? ran(r.result()) : failed(r.cause())));
    return outcome;
  }

  private static StatementOutcome ran(RowSet<Row> rows) {
    List<String> columns = rows.columnsNames() == null ? List.of() : rows.columnsNames();
    List<List<SqlValue>> values = new ArrayList<>(rows.size());
    for (Row row : rows) {
      values.add(ValueMapper.toValues(row));
    }
    return new StatementOutcome.Ran(new StatementResult(columns, values, rows.rowCount()));
  }

  private static StatementOutcome failed(Throwable cause) {
    String message = String.valueOf(cause.getMessage());
    if (cause instanceof PgException e) {
      String state = String.valueOf(e.getSqlState());
      // 57Pxx: the server closes this connection, so it is unknown whether the statement ran.
      if (state.startsWith("57P")) {
        return new StatementOutcome.Lost(message);
      }
      return new StatementOutcome.Refused(state, message);
    }
    if (message.startsWith("Parameter at position")) {
      return new StatementOutcome.Refused(INVALID_PARAMETER, message);
    }
    return new StatementOutcome.Lost(message);
  }
}
