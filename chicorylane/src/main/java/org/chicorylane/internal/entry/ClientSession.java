package org.chicorylane.internal.entry;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.chicorylane.internal.account.AccountAccess;
import org.chicorylane.internal.passthrough.AccessMode;
import org.chicorylane.internal.passthrough.Answer;
import org.chicorylane.internal.passthrough.ClientStatement;
import org.chicorylane.internal.passthrough.FailureCode;
import org.chicorylane.internal.passthrough.SessionValues;
import org.chicorylane.internal.passthrough.StatementTemplate;
import org.chicorylane.internal.passthrough.TransactionState;
import org.chicorylane.internal.pool.Work;
import org.chicorylane.internal.pool.WorkKind;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.topology.DatabaseRoute;
import org.jspecify.annotations.Nullable;

/**
 * The state of one client connection: session values, prepared statements, the open transaction and
 * the position of the last write, which later reads must see (read your writes). Runs one statement
 * at a time.
 *
 * <pre>{@code
 * session.run(requestId, new ClientStatement.Read("READ 1a4"), this::write);
 * }</pre>
 *
 * <p>Confined to the instance's thread.
 */
public final class ClientSession {

  /**
   * Maximum number of session values, and of prepared statements. The values are sent with each
   * statement; the prepared statements are kept here.
   */
  private static final int MAXIMUM_ENTRIES = 256;

  private final SessionHost host;
  private final String database;
  private final @Nullable AccountAccess access;
  private final Map<String, StatementTemplate> prepared = new HashMap<>();
  private SessionValues values = SessionValues.EMPTY;
  private TransactionState state = TransactionState.IDLE;
  private boolean readOnly;
  private boolean hasWritten;
  private @Nullable DatabaseRoute transactionRoute;
  private @Nullable RoutedTransaction transaction;
  private @Nullable LogPosition floor;

  /** Handler of the running statement's answer, null if no statement is running. */
  private @Nullable Consumer<Answer> runningHandler;

  /** Whether the running statement may make a write durable. */
  private boolean mayCommit;

  /** The statement that was routed last; null before the first one. */
  private HomeRouter.@Nullable Routed routed;

  private boolean closed;

  ClientSession(SessionHost host, String database, @Nullable AccountAccess access) {
    this.host = host;
    this.database = database;
    this.access = access;
  }

  /** Returns the access under which the session runs, null if it needs none. */
  @Nullable AccountAccess access() {
    return access;
  }

  /** Returns whether the session has neither a running statement nor an open transaction. */
  public boolean isIdle() {
    return runningHandler == null && state == TransactionState.IDLE;
  }

  /** Runs a statement and passes its answer to the handler, unless the session is closed first. */
  public void run(String requestId, ClientStatement statement, Consumer<Answer> handler) {
    runningHandler = handler;
    mayCommit = false;
    Consumer<Answer> onDone =
        answer -> {
          Consumer<Answer> running = runningHandler;
          runningHandler = null;
          if (!closed && running != null) {
            running.accept(answer);
            checkAccess();
          }
        };
    if (!host.isGranted(access) && !(statement instanceof ClientStatement.Rollback)) {
      onDone.accept(refuseWithdrawn(statement instanceof ClientStatement.Commit));
    } else if (statement instanceof ClientStatement.Malformed malformed) {
      onDone.accept(failMalformed(malformed.problem()));
    } else if (statement instanceof ClientStatement.Rollback) {
      onDone.accept(rollback());
    } else if (statement instanceof ClientStatement.Commit) {
      commit(requestId, onDone);
    } else if (state == TransactionState.FAILED) {
      onDone.accept(failMalformed("the transaction failed; only ROLLBACK or COMMIT ends it"));
    } else if (statement instanceof ClientStatement.Begin begin) {
      onDone.accept(begin(begin.readOnly()));
    } else if (statement instanceof ClientStatement.SetValue set) {
      onDone.accept(set(set));
    } else if (statement instanceof ClientStatement.Prepare prepare) {
      onDone.accept(prepare(prepare));
    } else if (statement instanceof ClientStatement.Deallocate deallocate) {
      onDone.accept(deallocate(deallocate.name()));
    } else if (statement instanceof ClientStatement.Read read) {
      forward(requestId, WorkKind.READ, read.text(), null, onDone);
    } else if (statement instanceof ClientStatement.Write write) {
      forward(requestId, WorkKind.WRITE, write.text(), null, onDone);
    } else if (statement instanceof ClientStatement.Execute execute) {
      StatementTemplate template = prepared.get(execute.name());
      if (template == null) {
        onDone.accept(fail(FailureCode.NOT_PREPARED, "no statement " + execute.name()));
      } else {
        forward(requestId, WorkKind.EXECUTE, execute.arguments(), template, onDone);
      }
    }
  }

  /**
   * Answers the running statement, if there is one, because the session is about to be closed. A
   * statement that may have committed is reported as in doubt, any other as aborted.
   */
  public void abortRunning(String reason) {
    Consumer<Answer> running = runningHandler;
    if (running == null || closed) {
      return;
    }
    runningHandler = null;
    dropRouted();
    FailureCode code = mayCommit ? FailureCode.IN_DOUBT : FailureCode.ABORTED;
    endTransaction(true);
    running.accept(Answer.failure(code, reason, state));
  }

  /**
   * Rolls back the open transaction if the session's access was withdrawn and no statement is
   * running. Later statements are refused.
   */
  void checkAccess() {
    if (runningHandler == null && state == TransactionState.OPEN && !host.isGranted(access)) {
      endTransaction(true);
      state = TransactionState.FAILED;
    }
  }

  private Answer refuseWithdrawn(boolean isCommit) {
    boolean wasInTransaction = state != TransactionState.IDLE;
    endTransaction(true);
    if (wasInTransaction && !isCommit) {
      state = TransactionState.FAILED;
    }
    return Answer.failure(
        FailureCode.UNKNOWN_KEY, "the key gives access to no account any more", state);
  }

  /** Ends the session, drops its running statement and rolls back its transaction. */
  public void close() {
    closed = true;
    if (runningHandler != null) {
      dropRouted();
    }
    endTransaction(true);
  }

  private void dropRouted() {
    HomeRouter.Routed running = routed;
    if (running != null) {
      routed = null;
      running.drop();
    }
  }

  private Answer begin(boolean isReadOnly) {
    if (state != TransactionState.IDLE) {
      return failMalformed("a transaction is open already");
    }
    DatabaseRoute route = host.route(database);
    if (route == null) {
      return failUnknownDatabase();
    }
    state = TransactionState.OPEN;
    readOnly = isReadOnly;
    hasWritten = false;
    transactionRoute = route;
    return Answer.success(state);
  }

  private Answer rollback() {
    if (state == TransactionState.IDLE) {
      return failMalformed("no transaction is open");
    }
    endTransaction(true);
    return Answer.success(state);
  }

  private void commit(String requestId, Consumer<Answer> onDone) {
    if (state == TransactionState.IDLE) {
      onDone.accept(failMalformed("no transaction is open"));
      return;
    }
    if (state == TransactionState.FAILED) {
      endTransaction(true);
      onDone.accept(Answer.failure(FailureCode.ABORTED, "the transaction was rolled back", state));
      return;
    }
    submit(
        requestId,
        WorkKind.COMMIT,
        "",
        null,
        answer -> {
          boolean failed = !answer.succeeded();
          if (!failed && hasWritten && answer.position() != null) {
            floor = floor == null ? answer.position() : floor.max(answer.position());
          }
          endTransaction(failed);
          onDone.accept(withState(answer));
        });
  }

  private void forward(
      String requestId,
      WorkKind kind,
      String text,
      @Nullable StatementTemplate template,
      Consumer<Answer> onDone) {
    boolean inTransaction = state == TransactionState.OPEN;
    submit(
        requestId,
        kind,
        text,
        template,
        answer -> {
          boolean writes =
              kind == WorkKind.WRITE || (template != null && template.mode() == AccessMode.WRITE);
          if (inTransaction) {
            hasWritten |= writes;
            if (!answer.succeeded() && answer.state() != TransactionState.OPEN) {
              state = TransactionState.FAILED;
            }
          } else if (writes && answer.succeeded() && answer.position() != null) {
            floor = floor == null ? answer.position() : floor.max(answer.position());
          }
          onDone.accept(withState(answer));
        });
  }

  private void submit(
      String requestId,
      WorkKind kind,
      String text,
      @Nullable StatementTemplate template,
      Consumer<Answer> handler) {
    boolean inTransaction = state == TransactionState.OPEN;
    DatabaseRoute route = inTransaction ? transactionRoute : host.route(database);
    if (route == null) {
      handler.accept(failUnknownDatabase());
      return;
    }
    RoutedTransaction open = transaction;
    boolean begins = inTransaction && open == null;
    if (begins) {
      open = new RoutedTransaction(route.group(), host.nextTransactionNumber());
      transaction = open;
    }
    boolean writes =
        kind == WorkKind.WRITE || (template != null && template.mode() == AccessMode.WRITE);
    boolean inDoubtIfLost = inTransaction ? kind == WorkKind.COMMIT && hasWritten : writes;
    mayCommit = inDoubtIfLost;
    Work work =
        new Work(
            kind,
            requestId,
            text,
            template,
            route.freshness(),
            (int) route.maximumAge().toMillis(),
            floor,
            values,
            open == null ? 0 : open.number,
            begins,
            readOnly && inTransaction,
            route.priority(),
            (int) route.targetLatency().toMillis(),
            (int) route.statementTimeout().toMillis(),
            access);
    routed = host.router().submit(route.group(), work, open, inDoubtIfLost, handler);
  }

  private Answer set(ClientStatement.SetValue set) {
    if (!values.contains(set.name()) && values.size() >= MAXIMUM_ENTRIES) {
      return fail(FailureCode.TOO_LARGE, "a session holds at most " + MAXIMUM_ENTRIES + " values");
    }
    values = values.with(set.name(), set.value());
    return Answer.success(state);
  }

  private Answer prepare(ClientStatement.Prepare prepare) {
    if (!prepared.containsKey(prepare.name()) && prepared.size() >= MAXIMUM_ENTRIES) {
      return fail(
          FailureCode.TOO_LARGE, "a session holds at most " + MAXIMUM_ENTRIES + " statements");
    }
    prepared.put(prepare.name(), prepare.template());
    return Answer.success(state);
  }

  private Answer deallocate(String name) {
    return prepared.remove(name) == null
        ? fail(FailureCode.NOT_PREPARED, "no statement " + name)
        : Answer.success(state);
  }

  private void endTransaction(boolean rollBack) {
    RoutedTransaction open = transaction;
    if (rollBack && open != null) {
      host.router().abandon(open);
    }
    transaction = null;
    transactionRoute = null;
    state = TransactionState.IDLE;
    readOnly = false;
  }

  private Answer fail(FailureCode code, String text) {
    if (state == TransactionState.OPEN) {
      state = TransactionState.FAILED;
    }
    return Answer.failure(code, text, state);
  }

  private Answer failMalformed(String problem) {
    return fail(FailureCode.MALFORMED, problem);
  }

  private Answer failUnknownDatabase() {
    return fail(FailureCode.UNKNOWN_DATABASE, host.describeUnknown(database));
  }

  private Answer withState(Answer answer) {
    if (answer.failure() == FailureCode.UNKNOWN_KEY && host.isGranted(access)) {
      // The home has another configuration; this instance has the newer one, or is about to get it.
      return Answer.failure(
          FailureCode.OVERLOADED, "the accounts have just changed; retry after 500 ms", state);
    }
    return new Answer(
        answer.rows(),
        answer.signature(),
        answer.failure(),
        answer.text(),
        state,
        answer.position(),
        null);
  }
}
