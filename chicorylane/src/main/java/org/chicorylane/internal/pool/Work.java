package org.chicorylane.internal.pool;

import org.chicorylane.internal.account.AccountAccess;
import org.chicorylane.internal.passthrough.AccessMode;
import org.chicorylane.internal.passthrough.SessionValues;
import org.chicorylane.internal.passthrough.StatementTemplate;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.topology.Freshness;
import org.jspecify.annotations.Nullable;

/**
 * A client's statement or commit with its consistency requirements and time limits.
 *
 * <p>Immutable.
 *
 * @param kind the kind of work
 * @param requestId the id that the client gave the request
 * @param text the statement, or the arguments of a prepared statement
 * @param template the prepared statement to execute; null unless {@code kind} is EXECUTE
 * @param freshness the consistency that a read requires
 * @param maximumAgeMillis the maximum age of the data that a read accepts, in milliseconds
 * @param sessionFloor the position of the session's last write; null if it has written nothing
 * @param values the session's values when the statement was submitted
 * @param transaction the number of the transaction at its entry; 0 outside a transaction
 * @param begins whether this is the first statement of its transaction
 * @param readOnly whether the transaction is read-only
 * @param priority the priority; lower values are served first, 0 before all others
 * @param targetMillis the time in milliseconds within which the client wants an answer
 * @param budgetMillis the time in milliseconds after which the client gives up; 0 if it has
 * @param access the client account under which the work runs; null if no accounts are declared
 */
public record Work(
    WorkKind kind,
    String requestId,
    String text,
    @Nullable StatementTemplate template,
    Freshness freshness,
    int maximumAgeMillis,
    @Nullable LogPosition sessionFloor,
    SessionValues values,
    long transaction,
    boolean begins,
    boolean readOnly,
    int priority,
    int targetMillis,
    int budgetMillis,
    @Nullable AccountAccess access) {

  /** Returns the name of the account under which the work runs, empty if it runs under none. */
  public String account() {
    return access == null ? "" : access.account();
  }

  /** Returns whether the statement itself changes data; false for a commit. */
  public boolean isWrite() {
    return kind == WorkKind.WRITE || (template != null && template.mode() == AccessMode.WRITE);
  }

  /** Returns whether this work is part of a transaction. */
  public boolean inTransaction() {
    return transaction != 0;
  }

  /** Returns whether a replica that is fresh enough may run this work. */
  boolean canRunOnReplica() {
    return freshness.allowsReplicas() && (inTransaction() ? readOnly : !isWrite());
  }

  /**
   * Returns this work with its target and budget reduced by the time that it has already waited, in
   * milliseconds.
   */
  public Work afterWaiting(int millis) {
    return new Work(
        kind,
        requestId,
        text,
        template,
        freshness,
        maximumAgeMillis,
        sessionFloor,
        values,
        transaction,
        begins,
        readOnly,
        priority,
        Math.max(0, targetMillis - millis),
        Math.max(0, budgetMillis - millis),
        access);
  }
}
