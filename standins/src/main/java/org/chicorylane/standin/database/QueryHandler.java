package org.chicorylane.standin.database;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * The simple and the extended query protocol of one session.
 *
 * <p>Used by one thread at a time, but for {@link #cancel} and what tells the session's state.
 */
final class QueryHandler implements AutoCloseable {

  private static final List<String> REPORTED_SETTINGS =
      List.of(
          "server_version",
          "server_encoding",
          "client_encoding",
          "DateStyle",
          "IntervalStyle",
          "TimeZone",
          "integer_datetimes",
          "standard_conforming_strings",
          "application_name");

  /** A statement bound to its parameters, with the rows that are still to send. */
  private static final class Portal {
    private final PreparedSql statement;
    private final List<@Nullable Object> parameters;
    private final ResultFormats formats;
    private @Nullable Result result;
    private int sent;

    Portal(PreparedSql statement, List<@Nullable Object> parameters, ResultFormats formats) {
      this.statement = statement;
      this.parameters = parameters;
      this.formats = formats;
    }
  }

  private final SqlSession sql;
  private final BackendWriter writer;
  private final Map<String, PreparedSql> statements = new HashMap<>();
  private final Map<String, Portal> portals = new HashMap<>();
  private boolean skipping;
  private volatile TransactionStatus status = TransactionStatus.IDLE;

  /** Whether messages of the extended protocol were handled since the last Sync. */
  private volatile boolean awaitingSync;

  QueryHandler(SqlSession sql, BackendWriter writer) {
    this.sql = sql;
    this.writer = writer;
  }

  String applicationName() {
    return sql.settings().applicationName();
  }

  /** Returns the transaction's status as of the last message. */
  TransactionStatus status() {
    return status;
  }

  /** Returns whether no transaction is under way, not even one that waits for its Sync. */
  boolean atRest() {
    return status == TransactionStatus.IDLE && !awaitingSync;
  }

  Duration idleTimeout() {
    return sql.settings().idleTimeout(status);
  }

  void cancel() {
    sql.cancel();
  }

  /** Sends what a client expects after its authentication. */
  void greet(int secret) {
    writer.authenticationOk();
    for (String name : REPORTED_SETTINGS) {
      String value = sql.settings().get(name);
      writer.parameterStatus(name, value == null ? "" : value);
    }
    writer.backendKeyData(sql.pid(), secret);
    ready();
  }

  void handle(FrontendMessage message) throws SqlError {
    if (message instanceof FrontendMessage.Sync) {
      awaitingSync = false;
      sync();
    } else if (message instanceof FrontendMessage.Query query) {
      simpleQuery(query.sql());
    } else if (!skipping) {
      awaitingSync = true;
      try {
        handleExtended(message);
      } catch (SqlError e) {
        skipping = true;
        report(e);
      }
    }
    status = sql.transaction().status();
  }

  private void report(SqlError error) throws SqlError {
    sql.transaction().fail();
    writer.error("ERROR", error);
  }

  private void ready() {
    status = sql.transaction().status();
    if (!status.open()) {
      portals.clear();
    }
    writer.readyForQuery(status);
    writer.flush();
  }

  private void sync() throws SqlError {
    skipping = false;
    try {
      sql.transaction().commitImplicit();
    } catch (SqlError e) {
      report(e);
    }
    ready();
  }

  private void simpleQuery(String text) throws SqlError {
    try {
      for (String statement : StatementText.split(text)) {
        PreparedSql prepared = sql.prepare(statement, List.of());
        Result result = execute(prepared, List.of());
        if (!result.columns().isEmpty()) {
          writer.rowDescription(result.columns(), ResultFormats.TEXT);
          sendRows(result, ResultFormats.TEXT, 0, result.rows().size());
        }
        complete(prepared, result.tag());
      }
      sql.transaction().commitImplicit();
    } catch (SqlError e) {
      report(e);
    }
    ready();
  }

  private Result execute(PreparedSql prepared, List<@Nullable Object> parameters) throws SqlError {
    String name = applicationName();
    Result result = sql.execute(prepared, parameters);
    if (!applicationName().equals(name)) {
      writer.parameterStatus(SessionSettings.APPLICATION_NAME, applicationName());
    }
    return result;
  }

  private void sendRows(Result result, ResultFormats formats, int from, int to) {
    for (int i = from; i < to; i++) {
      writer.dataRow(result.columns(), formats, result.rows().get(i));
    }
  }

  private void complete(PreparedSql prepared, String tag) {
    if (prepared.text().kind() == StatementKind.EMPTY) {
      writer.empty('I');
    } else {
      writer.commandComplete(tag);
    }
  }

  private void handleExtended(FrontendMessage message) throws SqlError {
    if (message instanceof FrontendMessage.Parse parse) {
      statements.put(parse.name(), sql.prepare(parse.sql(), parse.parameterTypes()));
      writer.empty('1');
    } else if (message instanceof FrontendMessage.Bind bind) {
      portals.put(bind.portal(), bind(bind));
      writer.empty('2');
    } else if (message instanceof FrontendMessage.Describe describe) {
      describe(describe);
    } else if (message instanceof FrontendMessage.Execute execute) {
      runPortal(portal(execute.portal()), execute.maxRows());
    } else if (message instanceof FrontendMessage.Close close) {
      if (close.portal()) {
        portals.remove(close.name());
      } else {
        statements.remove(close.name());
      }
      writer.empty('3');
    } else if (message instanceof FrontendMessage.Flush) {
      writer.flush();
    } else {
      throw new SqlError(SqlError.PROTOCOL_VIOLATION, "unexpected message " + message);
    }
  }

  private Portal bind(FrontendMessage.Bind bind) throws SqlError {
    PreparedSql statement = statement(bind.statement());
    List<PgType> types = statement.parameterTypes();
    if (types.size() != bind.parameters().size()) {
      throw new SqlError(
          SqlError.PROTOCOL_VIOLATION,
          "bind message supplies "
              + bind.parameters().size()
              + " parameters, but the statement requires "
              + types.size());
    }
    ResultFormats formats = new ResultFormats(bind.parameterFormats());
    List<@Nullable Object> values = new ArrayList<>(types.size());
    for (int i = 0; i < types.size(); i++) {
      byte[] bytes = bind.parameters().get(i);
      values.add(bytes == null ? null : types.get(i).readParameter(bytes, formats.binary(i)));
    }
    return new Portal(statement, values, new ResultFormats(bind.resultFormats()));
  }

  private void describe(FrontendMessage.Describe describe) throws SqlError {
    PreparedSql statement;
    ResultFormats formats = ResultFormats.TEXT;
    if (describe.portal()) {
      Portal portal = portal(describe.name());
      statement = portal.statement;
      formats = portal.formats;
    } else {
      statement = statement(describe.name());
      writer.parameterDescription(statement.parameterTypes());
    }
    if (statement.columns().isEmpty()) {
      writer.empty('n');
    } else {
      writer.rowDescription(statement.columns(), formats);
    }
  }

  private void runPortal(Portal portal, int maxRows) throws SqlError {
    Result result = portal.result;
    if (result == null) {
      result = execute(portal.statement, portal.parameters);
      portal.result = result;
    }
    int remaining = result.rows().size() - portal.sent;
    int count = maxRows > 0 ? Math.min(maxRows, remaining) : remaining;
    sendRows(result, portal.formats, portal.sent, portal.sent + count);
    portal.sent += count;
    if (count < remaining) {
      writer.empty('s');
    } else {
      complete(portal.statement, result.tag());
    }
  }

  private PreparedSql statement(String name) throws SqlError {
    PreparedSql statement = statements.get(name);
    if (statement == null) {
      throw new SqlError(
          SqlError.INVALID_STATEMENT_NAME, "prepared statement \"" + name + "\" does not exist");
    }
    return statement;
  }

  private Portal portal(String name) throws SqlError {
    Portal portal = portals.get(name);
    if (portal == null) {
      throw new SqlError(SqlError.INVALID_CURSOR_NAME, "portal \"" + name + "\" does not exist");
    }
    return portal;
  }

  @Override
  public void close() {
    sql.close();
  }
}
