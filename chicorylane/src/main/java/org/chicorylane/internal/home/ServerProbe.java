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

/** Probes a backend server over a connection of its own, for another instance. Thread-safe. */
final class ServerProbe {
  /** How long a probe may take. */
  static final Duration TIMEOUT = Duration.ofMillis(400);

  private static final String QUESTION =
      "SELECT CASE WHEN pg_is_in_recovery() THEN 0"
          + " ELSE (SELECT timeline_id FROM pg_control_checkpoint()) END";

  private final ServerConnector connector;

  ServerProbe(ServerConnector connector) {
    this.connector = connector;
  }

  /** Returns what the server said; unreachable if it said nothing in time. */
  CompletableFuture<ProbeResult> probe(DatabaseGroup group, String serverName) {
    Optional<BackendServer> server = group.server(serverName);
    if (server.isEmpty()) {
      return CompletableFuture.completedFuture(ProbeResult.UNREACHABLE);
    }
    return connector
        .open(group, server.get(), ConnectionPurpose.PROBE.applicationName())
        .thenCompose(this::ask)
        .completeOnTimeout(ProbeResult.UNREACHABLE, TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
  }

  private CompletableFuture<ProbeResult> ask(ConnectResult result) {
    if (!(result instanceof ConnectResult.Opened opened)) {
      return CompletableFuture.completedFuture(ProbeResult.UNREACHABLE);
    }
    ServerConnection connection = opened.connection();
    return connection
        .runPlain(QUESTION)
        .orTimeout(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
        .handle(
            (outcome, timeout) -> {
              connection.close();
              return verdict(outcome);
            });
  }

  private static ProbeResult verdict(@Nullable StatementOutcome outcome) {
    if (!(outcome instanceof StatementOutcome.Ran ran)) {
      return ProbeResult.UNREACHABLE;
    }
    SqlValue term = ran.result().rows().get(0).get(0);
    return new ProbeResult(true, term instanceof SqlValue.Int i ? i.value() : 0);
  }
}
