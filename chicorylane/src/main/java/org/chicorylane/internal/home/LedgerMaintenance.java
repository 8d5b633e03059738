package org.chicorylane.internal.home;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.chicorylane.internal.backend.ConnectResult;
import org.chicorylane.internal.backend.ServerConnection;
import org.chicorylane.internal.backend.StatementOutcome;
import org.chicorylane.internal.statement.Statement;
import org.tinylog.Logger;

/** Creates and purges the table of the {@link RequestLedger}. Stateless and thread-safe. */
final class LedgerMaintenance {
  private LedgerMaintenance() {}

  /**
   * Creates the table if it does not exist.
   *
   * @param result the connection to the primary, taken from {@code pool}
   * @return a future of false if the caller should try again. It is true also if the server refuses
   *     to create the table, because requests without idempotency keys need no ledger.
   */
  static CompletableFuture<Boolean> create(ConnectResult result, ServerConnectionPool pool) {
    if (!(result instanceof ConnectResult.Opened opened)) {
      return CompletableFuture.completedFuture(false);
    }
    ServerConnection connection = opened.connection();
    return connection
        .run(List.of(new Statement(RequestLedger.CREATE_TABLE, List.of())))
        .thenApplyAsync(
            outcomes -> {
              StatementOutcome outcome = outcomes.get(0);
              if (outcome instanceof StatementOutcome.Lost) {
                pool.discard(connection);
                return false;
              }
              if (outcome instanceof StatementOutcome.Refused refused) {
                Logger.error(
                    "the request ledger could not be created: {} {}"
                        + " (docs/TROUBLESHOOTING.md#request-ledger)",
                    refused.sqlState(),
                    refused.message());
              }
              pool.release(connection);
              return true;
            },
            pool.executor());
  }

  /**
   * Runs the {@code purge} statement. Failures are ignored; the next purge deletes what is left.
   */
  static void purge(ConnectResult result, ServerConnectionPool pool, Statement purge) {
    if (!(result instanceof ConnectResult.Opened opened)) {
      return;
    }
    ServerConnection connection = opened.connection();
    connection
        .run(List.of(purge))
        .thenAcceptAsync(
            outcomes -> {
              if (outcomes.get(0) instanceof StatementOutcome.Lost) {
                pool.discard(connection);
              } else {
                pool.release(connection);
              }
            },
            pool.executor());
  }
}
