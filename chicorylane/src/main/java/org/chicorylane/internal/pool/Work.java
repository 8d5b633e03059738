package org.chicorylane.internal.pool;

import java.util.Map;
import org.chicorylane.internal.passthrough.AccessMode;
import org.chicorylane.internal.passthrough.StatementTemplate;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.topology.Freshness;
import org.jspecify.annotations.Nullable;

/**
 * A client's statement on its way to a server.
 *
 * <p>Immutable.
 *
 * @param kind what it asks
 * @param requestId the client's id of the request
 * @param text the statement, or the arguments of a prepared one
 * @param template what a prepared statement runs; null unless {@code kind} is EXECUTE
 * @param freshness what a read must see
 * @param maximumAgeMillis the age that a read accepts
 * @param sessionFloor the position of the session's last write, null if it wrote nothing
 * @param values the session's values
 * @param transaction its number on its entry, 0 outside a transaction
 * @param begins whether it is the first statement of its transaction
 * @param readOnly whether the transaction only reads
 * @param priority 0 is served first
 * @param targetMillis the time in which the client hopes for an answer
 * @param budgetMillis the time after which the client gives up
 */
public record Work(
    WorkKind kind,
    String requestId,
    String text,
    @Nullable StatementTemplate template,
    Freshness freshness,
    int maximumAgeMillis,
    @Nullable LogPosition sessionFloor,
    Map<String, String> values,
    long transaction,
    boolean begins,
    boolean readOnly,
    int priority,
    int targetMillis,
    int budgetMillis) {

  /** Returns whether running it changes data by itself. */
  public boolean writes() {
    return kind == WorkKind.WRITE || (template != null && template.mode() == AccessMode.WRITE);
  }

  /** Returns whether it is part of a transaction. */
  public boolean inTransaction() {
    return transaction != 0;
  }

  /** Returns whether a replica that is fresh enough may serve it. */
  boolean replicaMayServe() {
    return freshness.allowsReplicas() && (inTransaction() ? readOnly : !writes());
  }

  /** Returns the same work after it waited elsewhere; the time spent there is gone. */
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
        Math.max(1, budgetMillis - millis));
  }
}
