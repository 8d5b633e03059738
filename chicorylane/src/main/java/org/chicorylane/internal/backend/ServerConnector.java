package org.chicorylane.internal.backend;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.pgclient.PgConnectOptions;
import io.vertx.pgclient.PgConnection;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.chicorylane.internal.declaration.BackendServer;
import org.chicorylane.internal.declaration.DatabaseGroup;

/**
 * Opens connections to backend servers.
 *
 * <pre>{@code
 * String name = ConnectionPurpose.WORK.applicationName();
 * connector.open(group, server, name).thenAccept(result -> ...);
 * }</pre>
 *
 * <p>Thread-safe.
 */
public final class ServerConnector {
  private static final String SERVER_START_QUERY = "SELECT pg_postmaster_start_time()::text";
  private static final int PIPELINING_LIMIT = 256;
  private static final int MAXIMUM_CACHED_STATEMENTS = 256;

  private final Vertx vertx;
  private final Duration connectTimeout;

  /**
   * Creates a connector.
   *
   * @param vertx the runtime of the PostgreSQL client; not closed by this class
   * @param connectTimeout the maximum time for opening a connection
   */
  public ServerConnector(Vertx vertx, Duration connectTimeout) {
    this.vertx = vertx;
    this.connectTimeout = connectTimeout;
  }

  /**
   * Opens a connection.
   *
   * @param applicationName the name by which the server shows the connection
   * @return a future that completes within the connect timeout, never exceptionally
   */
  public CompletableFuture<ConnectResult> open(
      DatabaseGroup group, BackendServer server, String applicationName) {
    CompletableFuture<ConnectResult> result = new CompletableFuture<>();
    long timer =
        vertx.setTimer(
            connectTimeout.toMillis(),
            id -> result.complete(new ConnectResult.Failed("no answer within " + connectTimeout)));
    PgConnection.connect(vertx, options(group, server, applicationName))
        .compose(ServerConnector::readServerStart)
        .onComplete(
            r -> {
              vertx.cancelTimer(timer);
              if (r.failed()) {
                result.complete(new ConnectResult.Failed(String.valueOf(r.cause().getMessage())));
                return;
              }
              ConnectResult opened = r.result();
              if (!result.complete(opened) && opened instanceof ConnectResult.Opened late) {
                late.connection().close();
              }
            });
    return result;
  }

  private static Future<ConnectResult> readServerStart(PgConnection connection) {
    return connection
        .query(SERVER_START_QUERY)
        .execute()
        .map(
            rows -> {
              String start = rows.iterator().next().getString(0);
              return new ConnectResult.Opened(new ServerConnection(connection, start));
            });
  }

  private PgConnectOptions options(
      DatabaseGroup group, BackendServer server, String applicationName) {
    PgConnectOptions options =
        new PgConnectOptions()
            .setHost(server.host())
            .setPort(server.port())
            .setDatabase(group.database())
            .setUser(group.user())
            .setPassword(group.password())
            .setPipeliningLimit(PIPELINING_LIMIT)
            .setCachePreparedStatements(true)
            .setPreparedStatementCacheMaxSize(MAXIMUM_CACHED_STATEMENTS);
    options.addProperty("application_name", applicationName);
    return options;
  }
}
