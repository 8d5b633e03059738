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
final class WorkRunner {
  private final EventExecutor executor;
  private final InstantSource clock;
  private final InteractiveTransactions transactions;
  private final Listener listener;

  /** Hears how requests end. */
  interface Listener {

    /** The request left its server; a refusal before anything was sent has no execution. */
    void onEnded(
        PendingRequest ticket, ServerInUse server, Instant sentAt, @Nullable Execution execution);
  }

  WorkRunner(
      EventExecutor executor,
      InstantSource clock,
      InteractiveTransactions transactions,
      Listener listener) {
    this.executor = executor;
    this.clock = clock;
    this.transactions = transactions;
    this.listener = listener;
  }

  void start(PendingRequest ticket, ServerInUse server) {
    server.running().add(ticket);
    if (ticket.request().transaction() != null) {
      proceed(ticket, server);
      return;
    }
    server
        .pool()
        .take()
        .thenAccept(
            r -> {
              if (r instanceof ConnectResult.Opened opened) {
                run(ticket, server, opened.connection());
              } else if (r instanceof ConnectResult.Failed failed) {
                refuse(ticket, server, NotRunReason.OVERLOADED, failed.reason());
              }
            });
  }

  /** Rolls back a transaction whose caller is gone, then tells {@code done}. */
  void rollBack(InteractiveTransactions.Open t, ServerInUse server, Runnable done) {
    TransactionRunner.rollback(t.connection())
        .thenAcceptAsync(
            e -> {
              release(server, t.connection(), e);
              done.run();
            },
            executor);
  }

  private void run(PendingRequest ticket, ServerInUse server, ServerConnection connection) {
    if (ticket.isDone()) {
      server.pool().giveBack(connection);
      end(ticket, server, clock.instant(), null);
      return;
    }
    ticket.sendTo(connection);
    GroupRequest request = ticket.request();
    Instant sentAt = clock.instant();
    CompletableFuture<Execution> running =
        switch (request.kind()) {
          case READ ->
              TransactionRunner.read(connection, request, server.role() == ServerRole.REPLICA);
          case WRITE -> TransactionRunner.write(connection, request, sentAt);
          default -> TransactionRunner.begin(connection, request, sentAt);
        };
    running.thenAcceptAsync(e -> ran(ticket, server, connection, sentAt, e), executor);
  }

  private void ran(
      PendingRequest ticket,
      ServerInUse server,
      ServerConnection connection,
      Instant sentAt,
      Execution execution) {
    if (!(execution instanceof Execution.StillOpen open)) {
      release(server, connection, execution);
      end(ticket, server, sentAt, execution);
      return;
    }
    if (ticket.isDone()) {
      TransactionRunner.rollback(connection)
          .thenAcceptAsync(
              e -> {
                release(server, connection, e);
                end(ticket, server, sentAt, null);
              },
              executor);
      return;
    }
    InteractiveTransactions.Open t =
        transactions.open(server.name(), connection, ticket, clock.instant());
    t.end(open.results(), clock.instant());
    completeOpen(ticket, t, open);
    end(ticket, server, sentAt, execution);
  }

  private void proceed(PendingRequest ticket, ServerInUse server) {
    GroupRequest request = ticket.request();
    InteractiveTransactions.Open t = transactions.find(request.transaction()).orElse(null);
    if (t == null) {
      refuse(ticket, server, NotRunReason.UNKNOWN_TRANSACTION, "no such transaction");
      return;
    }
    if (t.isBusy()) {
      String detail = "another request of the transaction is running";
      refuse(ticket, server, NotRunReason.NOT_ALLOWED, detail);
      return;
    }
    t.begin();
    ticket.sendTo(t.connection());
    Instant sentAt = clock.instant();
    CompletableFuture<Execution> running =
        switch (request.kind()) {
          case COMMIT -> TransactionRunner.commit(t.connection(), t.idempotencyKey(), t.results());
          case ROLLBACK -> TransactionRunner.rollback(t.connection());
          default -> TransactionRunner.proceed(t.connection(), request.statements());
        };
    running.thenAcceptAsync(e -> proceeded(ticket, t, server, sentAt, e), executor);
  }

  private void proceeded(
      PendingRequest ticket,
      InteractiveTransactions.Open t,
      ServerInUse server,
      Instant sentAt,
      Execution execution) {
    if (execution instanceof Execution.StillOpen open) {
      t.end(open.results(), clock.instant());
      completeOpen(ticket, t, open);
    } else {
      transactions.remove(t);
      release(server, t.connection(), execution);
    }
    end(ticket, server, sentAt, execution);
  }

  private static void completeOpen(
      PendingRequest ticket, InteractiveTransactions.Open t, Execution.StillOpen open) {
    ticket.complete(
        new Outcome.Completed(open.results(), null, false, t.server(), false, t.handle()));
  }

  private void refuse(
      PendingRequest ticket, ServerInUse server, NotRunReason reason, String detail) {
    ticket.refuse(reason, Retry.afterFor(reason), detail);
    end(ticket, server, clock.instant(), null);
  }

  private void end(
      PendingRequest ticket, ServerInUse server, Instant sentAt, @Nullable Execution execution) {
    ticket.leaveConnection();
    server.running().remove(ticket);
    listener.onEnded(ticket, server, sentAt, execution);
  }

  /** Gives back a connection that is clean, and ends one whose state is not known. */
  private static void release(
      ServerInUse server, ServerConnection connection, Execution execution) {
    if (execution instanceof Execution.InDoubt) {
      server.pool().discard(connection);
    } else {
      server.pool().giveBack(connection);
    }
  }
}
