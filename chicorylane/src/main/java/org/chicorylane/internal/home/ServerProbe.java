package org.chicorylane.internal.home;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.chicorylane.internal.backend.ConnectResult;
import org.chicorylane.internal.backend.ConnectionPurpose;
import org.chicorylane.internal.backend.ServerConnection;
import org.chicorylane.internal.backend.ServerConnector;
import org.chicorylane.internal.backend.StatementOutcome;
import org.chicorylane.internal.declaration.BackendServer;
import org.chicorylane.internal.declaration.DatabaseGroup;
import org.chicorylane.internal.relay.ProbeResult;
import org.chicorylane.internal.statement.SqlValue;
import org.jspecify.annotations.Nullable;

/**
 * Probes a backend server on behalf of another instance: opens a connection for it and reads the
 * server's term. Thread-safe.
 */
final class ServerProbe {
  /** The time after which a server that has not answered counts as unreachable. */
  static final Duration TIMEOUT = Duration.ofMillis(400);

  /** Returns the term of a primary; 0 for a replica. */
  private static final String TERM_QUERY =
      "SELECT CASE WHEN pg_is_in_recovery() THEN 0"
          + " ELSE (SELECT timeline_id FROM pg_control_checkpoint()) END";

  private final ServerConnector connector;

  ServerProbe(ServerConnector connector) {
    this.connector = connector;
  }

  /** Returns the server's answer; unreachable if it does not answer within {@link #TIMEOUT}. */
  CompletableFuture<ProbeResult> probe(DatabaseGroup group, String serverName) {
    Optional<BackendServer> server = group.server(serverName);
    if (server.isEmpty()) {
      return CompletableFuture.completedFuture(ProbeResult.UNREACHABLE);
    }
    return connector
        .open(group, server.get(), ConnectionPurpose.PROBE.applicationName())
        .thenCompose(this::queryTerm)
        .completeOnTimeout(ProbeResult.UNREACHABLE, TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
  }

  private CompletableFuture<ProbeResult> queryTerm(ConnectResult result) {
    if (!(result instanceof ConnectResult.Opened opened)) {
      return CompletableFuture.completedFuture(ProbeResult.UNREACHABLE);
    }
    ServerConnection connection = opened.connection();
    return connection
        .runSimpleQuery(TERM_QUERY)
        .orTimeout(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
        .handle(
            (outcome, timeout) -> {
              connection.close();
              return toVerdict(outcome);
            });
  }

  private static ProbeResult toVerdict(@Nullable StatementOutcome outcome) {
    if (!(outcome instanceof StatementOutcome.Ran ran)) {
      return ProbeResult.UNREACHABLE;
    }
    SqlValue term = ran.result().rows().get(0).get(0);
    return new ProbeResult(true, term instanceof SqlValue.Int i ? i.value() : 0);
  }
}
