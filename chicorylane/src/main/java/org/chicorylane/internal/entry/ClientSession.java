package org.chicorylane.internal.entry;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.chicorylane.internal.passthrough.AccessMode;
import org.chicorylane.internal.passthrough.Answer;
import org.chicorylane.internal.passthrough.ClientStatement;
import org.chicorylane.internal.passthrough.FailureCode;
import org.chicorylane.internal.passthrough.StatementTemplate;
import org.chicorylane.internal.passthrough.TransactionState;
import org.chicorylane.internal.pool.Work;
import org.chicorylane.internal.pool.WorkKind;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.topology.DatabaseRoute;
import org.jspecify.annotations.Nullable;

/**
 * A client's session: its values, prepared statements, transaction and the position of its last
 * write. Takes one statement at a time.
 *
 * <pre>{@code
 * session.run(requestId, new ClientStatement.Read("READ 1a4"), this::write);
 * }</pre>
 *
 * <p>Confined to the instance's thread.
 */
public final class ClientSession {

  /** Values and prepared statements that a session may hold; they travel or are kept for it. */
  private static final int MAXIMUM_NAMES = 256;

  private final SessionHost host;
  private final String database;
  private final Map<String, String> values = new LinkedHashMap<>();
  private final Map<String, StatementTemplate> prepared = new HashMap<>();
  private TransactionState state = TransactionState.IDLE;
  private boolean readOnly;
  private boolean wrote;
  private @Nullable DatabaseRoute transactionRoute;
  private @Nullable TransactionPlace transaction;
  private @Nullable LogPosition floor;
  private boolean busy;
  private boolean closed;

  ClientSession(SessionHost host, String database) {
    this.host = host;
    this.database = database;
  }

  /** Returns whether the session has neither a statement nor a transaction under way. */
  public boolean isIdle() {
    return !busy && state == TransactionState.IDLE;
  }

  /** Runs a statement and hands its answer over, unless the session is closed before. */
  public void run(String requestId, ClientStatement statement, Consumer<Answer> handler) {
    busy = true;
    Consumer<Answer> done =
        answer -> {
          busy = false;
          if (!closed) {
            handler.accept(answer);
          }
        };
    if (statement instanceof ClientStatement.Malformed malformed) {
      done.accept(malformed(malformed.problem()));
    } else if (statement instanceof ClientStatement.Rollback) {
      done.accept(rollback());
    } else if (statement instanceof ClientStatement.Commit) {
      commit(requestId, done);
    } else if (state == TransactionState.FAILED) {
      done.accept(malformed("the transaction failed; only ROLLBACK or COMMIT ends it"));
    } else if (statement instanceof ClientStatement.Begin begin) {
      done.accept(begin(begin.readOnly()));
    } else if (statement instanceof ClientStatement.SetValue set) {
      done.accept(set(set));
    } else if (statement instanceof ClientStatement.Prepare prepare) {
      done.accept(prepare(prepare));
    } else if (statement instanceof ClientStatement.Deallocate deallocate) {
      done.accept(deallocate(deallocate.name()));
    } else if (statement instanceof ClientStatement.Read read) {
      forward(requestId, WorkKind.READ, read.text(), null, done);
    } else if (statement instanceof ClientStatement.Write write) {
      forward(requestId, WorkKind.WRITE, write.text(), null, done);
    } else if (statement instanceof ClientStatement.Execute execute) {
      StatementTemplate template = prepared.get(execute.name());
      if (template == null) {
        done.accept(failed(FailureCode.NOT_PREPARED, "no statement " + execute.name()));
      } else {
        forward(requestId, WorkKind.EXECUTE, execute.arguments(), template, done);
      }
    }
  }

  /** Ends the session; its transaction is rolled back. */
  public void close() {
    closed = true;
    endTransaction(true);
  }

  private Answer begin(boolean onlyReads) {
    if (state != TransactionState.IDLE) {
      return malformed("a transaction is open already");
    }
    DatabaseRoute route = host.route(database);
    if (route == null) {
      return unknownDatabase();
    }
    state = TransactionState.OPEN;
    readOnly = onlyReads;
    wrote = false;
    transactionRoute = route;
    return Answer.done(state);
  }

  private Answer rollback() {
    if (state == TransactionState.IDLE) {
      return malformed("no transaction is open");
    }
    endTransaction(true);
    return Answer.done(state);
  }

  private void commit(String requestId, Consumer<Answer> done) {
    if (state == TransactionState.IDLE) {
      done.accept(malformed("no transaction is open"));
      return;
    }
    if (state == TransactionState.FAILED) {
      endTransaction(true);
      done.accept(Answer.failure(FailureCode.ABORTED, "the transaction was rolled back", state));
      return;
    }
    submit(
        requestId,
        WorkKind.COMMIT,
        "",
        null,
        answer -> {
          boolean failed = !answer.succeeded();
          if (!failed && wrote && answer.position() != null) {
            floor = floor == null ? answer.position() : floor.max(answer.position());
          }
          endTransaction(failed);
          done.accept(withState(answer));
        });
  }

  private void forward(
      String requestId,
      WorkKind kind,
      String text,
      @Nullable StatementTemplate template,
      Consumer<Answer> done) {
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
            wrote |= writes;
            if (!answer.succeeded() && answer.state() != TransactionState.OPEN) {
              state = TransactionState.FAILED;
            }
          } else if (writes && answer.succeeded() && answer.position() != null) {
            floor = floor == null ? answer.position() : floor.max(answer.position());
          }
          done.accept(withState(answer));
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
      handler.accept(unknownDatabase());
      return;
    }
    TransactionPlace place = transaction;
    boolean begins = inTransaction && place == null;
    if (begins) {
      place = new TransactionPlace(route.group(), host.nextTransaction());
      transaction = place;
    }
    boolean writes =
        kind == WorkKind.WRITE || (template != null && template.mode() == AccessMode.WRITE);
    boolean doubtful = inTransaction ? kind == WorkKind.COMMIT && wrote : writes;
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
            place == null ? 0 : place.number,
            begins,
            readOnly && inTransaction,
            route.priority(),
            (int) route.targetLatency().toMillis(),
            (int) route.statementTimeout().toMillis());
    host.router().submit(route.group(), work, place, doubtful, handler);
  }

  private Answer set(ClientStatement.SetValue set) {
    if (!values.containsKey(set.name()) && values.size() >= MAXIMUM_NAMES) {
      return failed(FailureCode.TOO_LARGE, "a session holds at most " + MAXIMUM_NAMES + " values");
    }
    values.put(set.name(), set.value());
    return Answer.done(state);
  }

  private Answer prepare(ClientStatement.Prepare prepare) {
    if (!prepared.containsKey(prepare.name()) && prepared.size() >= MAXIMUM_NAMES) {
      return failed(
          FailureCode.TOO_LARGE, "a session holds at most " + MAXIMUM_NAMES + " statements");
    }
    prepared.put(prepare.name(), prepare.template());
    return Answer.done(state);
  }

  private Answer deallocate(String name) {
    return prepared.remove(name) == null
        ? failed(FailureCode.NOT_PREPARED, "no statement " + name)
        : Answer.done(state);
  }

  private void endTransaction(boolean rollBack) {
    TransactionPlace place = transaction;
    if (rollBack && place != null) {
      host.router().abandon(place);
    }
    transaction = null;
    transactionRoute = null;
    state = TransactionState.IDLE;
    readOnly = false;
  }

  private Answer failed(FailureCode code, String text) {
    if (state == TransactionState.OPEN) {
      state = TransactionState.FAILED;
    }
    return Answer.failure(code, text, state);
  }

  private Answer malformed(String problem) {
    return failed(FailureCode.MALFORMED, problem);
  }

  private Answer unknownDatabase() {
    return failed(FailureCode.UNKNOWN_DATABASE, "no database " + database);
  }

  private Answer withState(Answer answer) {
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
