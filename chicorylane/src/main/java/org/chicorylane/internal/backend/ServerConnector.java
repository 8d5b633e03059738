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
  private static final String SERVER_START = "SELECT pg_postmaster_start_time()::text";
  private static final int PIPELINING_LIMIT = 256;
  private static final int PREPARED_STATEMENTS = 256;

  private final Vertx vertx;
  private final Duration connectTimeout;

  /**
   * Makes a connector.
   *
   * @param vertx the client's runtime; not closed by this class
   * @param connectTimeout how long opening may take
   */
  public ServerConnector(Vertx vertx, Duration connectTimeout) {
    this.vertx = vertx;
    this.connectTimeout = connectTimeout;
  }

  /**
   * Opens a connection.
   *
   * @param applicationName tells the server what the connection is for
   * @return completes with the result, never exceptionally, within the connect timeout
   */
  public CompletableFuture<ConnectResult> open(
      DatabaseGroup group, BackendServer server, String applicationName) {
    CompletableFuture<ConnectResult> result = new CompletableFuture<>();
    long timer =
        vertx.setTimer(
            connectTimeout.toMillis(),
            id -> result.complete(new ConnectResult.Failed("no answer within " + connectTimeout)));
    PgConnection.connect(vertx, options(group, server, applicationName))
        .compose(ServerConnector::readStart)
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

  private static Future<ConnectResult> readStart(PgConnection connection) {
    return connection
        .query(SERVER_START)
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
            .setPreparedStatementCacheMaxSize(PREPARED_STATEMENTS);
    options.addProperty("application_name", applicationName);
    return options;
  }
}
