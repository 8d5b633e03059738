package org.chicorylane.internal.home;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.chicorylane.internal.backend.LogSequenceNumber;
import org.chicorylane.internal.backend.ServerConnection;
import org.chicorylane.internal.backend.StatementOutcome;
import org.chicorylane.internal.relay.GroupRequest;
import org.chicorylane.internal.statement.SqlValue;
import org.chicorylane.internal.statement.Statement;
import org.chicorylane.internal.statement.StatementResult;
import org.jspecify.annotations.Nullable;

/**
 * Runs requests as transactions on a backend connection. Statements are pipelined: a request
 * without an idempotency key takes one round trip; with a key it takes two, because its results are
 * stored in the request ledger before the commit.
 *
 * <p>Afterwards the connection can be reused unless the result is in doubt or the transaction is
 * still open. Stateless and thread-safe.
 */
final class TransactionRunner {
  private static final String UNIQUE_VIOLATION = "23505";
  private static final Statement BEGIN = withoutParameters("BEGIN");
  private static final Statement BEGIN_READ_ONLY =
      withoutParameters("BEGIN ISOLATION LEVEL REPEATABLE READ READ ONLY");
  private static final Statement COMMIT = withoutParameters("COMMIT");
  private static final Statement ROLLBACK = withoutParameters("ROLLBACK");
  private static final Statement CURRENT_LSN =
      withoutParameters("SELECT pg_current_wal_lsn()::text");

  private TransactionRunner() {}

  /** Runs a READ in a read-only transaction; a single statement on a replica needs none. */
  static CompletableFuture<ExecutionResult> read(
      ServerConnection connection, GroupRequest request, boolean onReplica) {
    List<Statement> statements = request.statements();
    if (onReplica && statements.size() == 1) {
      return connection.run(statements).thenApply(o -> committedUnlessFailed(o, 0, 1, 0));
    }
    int n = statements.size();
    return connection
        .run(surround(BEGIN_READ_ONLY, statements, List.of(COMMIT)))
        .thenApply(o -> committedUnlessFailed(o, 1, n, 0));
  }

  /** Runs a WRITE in one transaction. */
  static CompletableFuture<ExecutionResult> write(
      ServerConnection connection, GroupRequest request, Instant now) {
    if (request.idempotencyKey() != null) {
      return begin(connection, request, now)
          .thenCompose(
              e ->
                  e instanceof ExecutionResult.StillOpen open
                      ? commit(connection, request.idempotencyKey(), open.results())
                      : CompletableFuture.completedFuture(e));
    }
    int n = request.statements().size();
    return connection
        .run(surround(BEGIN, request.statements(), List.of(COMMIT, CURRENT_LSN)))
        .thenApply(o -> committedWithOffset(o, 1, n));
  }

  /** Opens a transaction, inserts the idempotency key if there is one, and runs the statements. */
  static CompletableFuture<ExecutionResult> begin(
      ServerConnection connection, GroupRequest request, Instant now) {
    String key = request.idempotencyKey();
    if (key == null) {
      int n = request.statements().size();
      return connection
          .run(surround(BEGIN, request.statements(), List.of()))
          .thenCompose(o -> openUnlessFailed(connection, o, 1, n));
    }
    String fingerprint = RequestLedger.fingerprint(request);
    List<Statement> all = new ArrayList<>();
    all.add(BEGIN);
    all.add(RequestLedger.insert(key, fingerprint, now));
    all.addAll(request.statements());
    return connection
        .run(all)
        .thenCompose(
            o -> {
              if (o.get(1) instanceof StatementOutcome.Refused r
                  && r.sqlState().equals(UNIQUE_VIOLATION)) {
                return replay(connection, key, fingerprint);
              }
              return openUnlessFailed(connection, o, 2, request.statements().size());
            });
  }

  /** Runs statements within an open transaction. */
  static CompletableFuture<ExecutionResult> continueTransaction(
      ServerConnection connection, List<Statement> statements) {
    return connection
        .run(statements)
        .thenCompose(o -> openUnlessFailed(connection, o, 0, statements.size()));
  }

  /** Commits an open transaction and stores {@code results} under its key if it has one. */
  static CompletableFuture<ExecutionResult> commit(
      ServerConnection connection, @Nullable String key, List<StatementResult> results) {
    List<Statement> last = new ArrayList<>();
    if (key != null) {
      last.add(RequestLedger.store(key, results));
    }
    int ledgerStatementCount = last.size();
    last.add(COMMIT);
    last.add(CURRENT_LSN);
    return connection
        .run(last)
        .thenApply(
            o -> {
              ExecutionResult e = committedWithOffset(o, ledgerStatementCount, 0);
              return e instanceof ExecutionResult.Committed c
                  ? new ExecutionResult.Committed(results, c.offset(), false)
                  : e;
            });
  }

  /** Rolls an open transaction back. */
  static CompletableFuture<ExecutionResult> rollback(ServerConnection connection) {
    return connection.run(List.of(ROLLBACK)).thenApply(o -> committedUnlessFailed(o, 0, 0, 0));
  }

  /** Rolls back and returns the results that an earlier attempt stored under the same key. */
  private static CompletableFuture<ExecutionResult> replay(
      ServerConnection connection, String key, String fingerprint) {
    return connection
        .run(List.of(ROLLBACK, RequestLedger.find(key), CURRENT_LSN))
        .thenApply(
            o -> {
              if (firstLostOutcomeOrFirst(o) instanceof StatementOutcome.Lost lost) {
                return new ExecutionResult.InDoubt(lost.reason());
              }
              if (!(o.get(1) instanceof StatementOutcome.Ran found)
                  || found.result().rows().isEmpty()) {
                return new ExecutionResult.InDoubt("the ledger entry of the key is gone");
              }
              List<SqlValue> row = found.result().rows().get(0);
              if (!row.get(0).equals(new SqlValue.Text(fingerprint))) {
                return new ExecutionResult.KeyReused();
              }
              String stored = row.get(1) instanceof SqlValue.Text t ? t.value() : "";
              return new ExecutionResult.Committed(
                  RequestLedger.decodeResults(stored), parseOffset(o.get(2)), true);
            });
  }

  /** Returns {@code StillOpen} if all statements ran; rolls back if one was refused. */
  private static CompletableFuture<ExecutionResult> openUnlessFailed(
      ServerConnection connection, List<StatementOutcome> outcomes, int from, int count) {
    ExecutionResult e = committedUnlessFailed(outcomes, from, count, 0);
    if (e instanceof ExecutionResult.Committed c) {
      return CompletableFuture.completedFuture(new ExecutionResult.StillOpen(c.results()));
    }
    if (e instanceof ExecutionResult.Refused) {
      return connection.run(List.of(ROLLBACK)).thenApply(o -> e);
    }
    return CompletableFuture.completedFuture(e);
  }

  /**
   * As {@link #committedUnlessFailed}, with the offset from the last outcome, which is that of
   * {@link #CURRENT_LSN}.
   */
  private static ExecutionResult committedWithOffset(
      List<StatementOutcome> outcomes, int from, int count) {
    ExecutionResult e = committedUnlessFailed(outcomes, from, count, 0);
    if (!(e instanceof ExecutionResult.Committed c)) {
      return e;
    }
    return new ExecutionResult.Committed(
        c.results(), parseOffset(outcomes.get(outcomes.size() - 1)), false);
  }

  /**
   * Returns {@code Committed} with the results of {@code count} outcomes starting at {@code from},
   * unless an outcome failed. A lost connection takes precedence over a refused statement, because
   * it is not known what happened after the refusal.
   */
  private static ExecutionResult committedUnlessFailed(
      List<StatementOutcome> outcomes, int from, int count, long offset) {
    if (firstLostOutcomeOrFirst(outcomes) instanceof StatementOutcome.Lost lost) {
      return new ExecutionResult.InDoubt(lost.reason());
    }
    for (int i = 0; i < outcomes.size(); i++) {
      if (outcomes.get(i) instanceof StatementOutcome.Refused r) {
        int index = Math.max(0, Math.min(i - from, count - 1));
        return new ExecutionResult.Refused(r.sqlState(), r.message(), index);
      }
    }
    List<StatementResult> results = new ArrayList<>(count);
    for (StatementOutcome o : outcomes.subList(from, from + count)) {
      results.add(((StatementOutcome.Ran) o).result());
    }
    return new ExecutionResult.Committed(results, offset, false);
  }

  /** Returns the first lost outcome, or the first of all if none was lost. */
  private static StatementOutcome firstLostOutcomeOrFirst(List<StatementOutcome> outcomes) {
    for (StatementOutcome o : outcomes) {
      if (o instanceof StatementOutcome.Lost) {
        return o;
      }
    }
    return outcomes.get(0);
  }

  private static long parseOffset(StatementOutcome lsn) {
    SqlValue value = ((StatementOutcome.Ran) lsn).result().rows().get(0).get(0);
    return LogSequenceNumber.parse(((SqlValue.Text) value).value());
  }

  private static List<Statement> surround(
      Statement first, List<Statement> statements, List<Statement> last) {
    List<Statement> all = new ArrayList<>(statements.size() + 1 + last.size());
    all.add(first);
    all.addAll(statements);
    all.addAll(last);
    return all;
  }

  private static Statement withoutParameters(String sql) {
    return new Statement(sql, List.of());
  }
}
