package org.chicorylane.internal.home;

import io.netty.util.concurrent.EventExecutor;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;
import org.chicorylane.internal.backend.ConnectResult;
import org.chicorylane.internal.backend.ServerConnection;
import org.chicorylane.internal.failover.ServerRole;
import org.chicorylane.internal.outcome.NotRunReason;
import org.chicorylane.internal.outcome.Outcome;
import org.chicorylane.internal.relay.GroupRequest;
import org.jspecify.annotations.Nullable;

/**
 * Runs dispatched requests on backend connections, each in a transaction of its own or in the
 * interactive transaction that it belongs to.
 *
 * <p>Runs on the group's executor only.
 */
final class RequestRunner {
  private final EventExecutor executor;
  private final InstantSource clock;
  private final InteractiveTransactions transactions;
  private final Listener listener;

  /** Receives the results of requests. */
  interface Listener {

    /**
     * Called when a request no longer runs on its server.
     *
     * @param execution the result; null if nothing was sent, or if the new transaction was rolled
     *     back because the request had its outcome already
     */
    void onEnded(
        PendingRequest pending,
        ServerInUse server,
        Instant sentAt,
        @Nullable ExecutionResult execution);
  }

  RequestRunner(
      EventExecutor executor,
      InstantSource clock,
      InteractiveTransactions transactions,
      Listener listener) {
    this.executor = executor;
    this.clock = clock;
    this.transactions = transactions;
    this.listener = listener;
  }

  /** Runs the request on the server, in its open transaction if it names one. */
  void start(PendingRequest pending, ServerInUse server) {
    server.running().add(pending);
    if (pending.request().transaction() != null) {
      continueTransaction(pending, server);
      return;
    }
    server
        .pool()
        .acquire()
        .thenAccept(
            r -> {
              if (r instanceof ConnectResult.Opened opened) {
                runFirstStatements(pending, server, opened.connection());
              } else if (r instanceof ConnectResult.Failed failed) {
                refuse(pending, server, NotRunReason.OVERLOADED, failed.reason());
              }
            });
  }

  /** Rolls back a transaction that its caller abandoned, then runs {@code done}. */
  void rollBack(
      InteractiveTransactions.OpenTransaction transaction, ServerInUse server, Runnable done) {
    TransactionRunner.rollback(transaction.connection())
        .thenAcceptAsync(
            e -> {
              releaseOrDiscard(server, transaction.connection(), e);
              done.run();
            },
            executor);
  }

  private void runFirstStatements(
      PendingRequest pending, ServerInUse server, ServerConnection connection) {
    if (pending.isDone()) {
      server.pool().release(connection);
      finish(pending, server, clock.instant(), null);
      return;
    }
    pending.markSent(connection);
    GroupRequest request = pending.request();
    Instant sentAt = clock.instant();
    CompletableFuture<ExecutionResult> result =
        switch (request.kind()) {
          case READ ->
              TransactionRunner.read(connection, request, server.role() == ServerRole.REPLICA);
          case WRITE -> TransactionRunner.write(connection, request, sentAt);
          default -> TransactionRunner.begin(connection, request, sentAt);
        };
    result.thenAcceptAsync(
        e -> finishFirstStatements(pending, server, connection, sentAt, e), executor);
  }

  private void finishFirstStatements(
      PendingRequest pending,
      ServerInUse server,
      ServerConnection connection,
      Instant sentAt,
      ExecutionResult execution) {
    if (!(execution instanceof ExecutionResult.StillOpen open)) {
      releaseOrDiscard(server, connection, execution);
      finish(pending, server, sentAt, execution);
      return;
    }
    if (pending.isDone()) {
      TransactionRunner.rollback(connection)
          .thenAcceptAsync(
              e -> {
                releaseOrDiscard(server, connection, e);
                finish(pending, server, sentAt, null);
              },
              executor);
      return;
    }
    InteractiveTransactions.OpenTransaction transaction =
        transactions.add(server.name(), connection, pending, clock.instant());
    transaction.endRequest(open.results(), clock.instant());
    completeStillOpen(pending, transaction, open);
    finish(pending, server, sentAt, execution);
  }

  private void continueTransaction(PendingRequest pending, ServerInUse server) {
    GroupRequest request = pending.request();
    InteractiveTransactions.OpenTransaction transaction =
        transactions.find(request.transaction()).orElse(null);
    if (transaction == null) {
      refuse(pending, server, NotRunReason.UNKNOWN_TRANSACTION, "no such transaction");
      return;
    }
    if (transaction.isBusy()) {
      String detail = "another request of the transaction is running";
      refuse(pending, server, NotRunReason.NOT_ALLOWED, detail);
      return;
    }
    transaction.beginRequest();
    pending.markSent(transaction.connection());
    Instant sentAt = clock.instant();
    CompletableFuture<ExecutionResult> result =
        switch (request.kind()) {
          case COMMIT ->
              TransactionRunner.commit(
                  transaction.connection(), transaction.idempotencyKey(), transaction.results());
          case ROLLBACK -> TransactionRunner.rollback(transaction.connection());
          default ->
              TransactionRunner.continueTransaction(transaction.connection(), request.statements());
        };
    result.thenAcceptAsync(
        e -> finishTransactionStep(pending, transaction, server, sentAt, e), executor);
  }

  private void finishTransactionStep(
      PendingRequest pending,
      InteractiveTransactions.OpenTransaction transaction,
      ServerInUse server,
      Instant sentAt,
      ExecutionResult execution) {
    if (execution instanceof ExecutionResult.StillOpen open) {
      transaction.endRequest(open.results(), clock.instant());
      completeStillOpen(pending, transaction, open);
    } else {
      transactions.remove(transaction);
      releaseOrDiscard(server, transaction.connection(), execution);
    }
    finish(pending, server, sentAt, execution);
  }

  private static void completeStillOpen(
      PendingRequest pending,
      InteractiveTransactions.OpenTransaction transaction,
      ExecutionResult.StillOpen open) {
    pending.complete(
        new Outcome.Completed(
            open.results(), null, false, transaction.server(), false, transaction.handle()));
  }

  private void refuse(
      PendingRequest pending, ServerInUse server, NotRunReason reason, String detail) {
    pending.refuse(reason, RetryDelays.forReason(reason), detail);
    finish(pending, server, clock.instant(), null);
  }

  private void finish(
      PendingRequest pending,
      ServerInUse server,
      Instant sentAt,
      @Nullable ExecutionResult execution) {
    pending.markConnectionFree();
    server.running().remove(pending);
    listener.onEnded(pending, server, sentAt, execution);
  }

  /** Returns a clean connection to the pool, and closes one whose state is not known. */
  private static void releaseOrDiscard(
      ServerInUse server, ServerConnection connection, ExecutionResult execution) {
    if (execution instanceof ExecutionResult.InDoubt) {
      server.pool().discard(connection);
    } else {
      server.pool().release(connection);
    }
  }
}
