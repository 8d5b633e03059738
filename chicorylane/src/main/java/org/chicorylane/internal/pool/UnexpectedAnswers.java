package org.chicorylane.internal.pool;

import org.chicorylane.internal.passthrough.UnexpectedAnswer;
import org.chicorylane.internal.runtime.DecisionLog;

/**
 * Counts and logs messages of servers that answer no command.
 *
 * <p>Confined to the instance's thread.
 */
final class UnexpectedAnswers {

  private final DecisionLog log;
  private final PoolMetrics metrics;

  UnexpectedAnswers(DecisionLog log, PoolMetrics metrics) {
    this.log = log;
    this.metrics = metrics;
  }

  /** Records an answer of {@code server}. */
  void record(PoolServer server, UnexpectedAnswer answer) {
    metrics.recordUnexpectedAnswer(answer.kind());
    log.event(DecisionLog.Priority.FAILURE, "answer-unexpected")
        .with("kind", answer.kind().label())
        .with("group", server.backend.group())
        .with("server", server.backend.id())
        .with("connection", answer.connection())
        .with("request", answer.outstandingId())
        .with("answered", answer.answeredId())
        .with("text", answer.text())
        .write();
  }
}
