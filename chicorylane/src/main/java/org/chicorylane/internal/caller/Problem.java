package org.chicorylane.internal.caller;

import java.time.Duration;
import java.util.List;
import org.chicorylane.internal.finding.Finding;
import org.chicorylane.internal.outcome.NotRunReason;
import org.chicorylane.internal.outcome.Outcome;
import org.jspecify.annotations.Nullable;

/**
 * An error as callers see it, by RFC 9457.
 *
 * @param name the last part of the type's URI, and the anchor in the troubleshooting page
 * @param status the HTTP status
 * @param title what is wrong in general
 * @param detail what is wrong with this request
 * @param fate what became of the request
 * @param retryAfter when to come back; zero if a retry cannot help
 * @param findings the mistakes in the request; empty for other problems
 * @param rejection what the database said; null unless it refused a statement
 */
record Problem(
    String name,
    int status,
    String title,
    String detail,
    OutcomeKind outcomeKind,
    Duration retryAfter,
    List<Finding> findings,
    Outcome.@Nullable Rejected rejection) {

  /** What became of a request that did not complete. */
  enum OutcomeKind {
    /** It was not run and will not be. */
    NOT_RUN,
    /** Whether it ran cannot be told. */
    UNKNOWN,
    /** The database refused it; nothing of it remains. */
    REJECTED
  }

  static Problem of(ProblemType type, String detail) {
    return of(type, detail, OutcomeKind.NOT_RUN, Duration.ZERO);
  }

  static Problem of(Outcome.NotRun notRun) {
    NotRunReason reason = notRun.reason();
    return new Problem(
        ProblemType.toKebabCase(reason),
        reason.httpStatus(),
        reason.title(),
        notRun.detail(),
        OutcomeKind.NOT_RUN,
        notRun.retryAfter(),
        List.of(),
        null);
  }

  static Problem of(Outcome.Unknown unknown) {
    return of(
        ProblemType.OUTCOME_UNKNOWN, unknown.detail(), OutcomeKind.UNKNOWN, unknown.retryAfter());
  }

  static Problem of(Outcome.Rejected rejected) {
    ProblemType type = ProblemType.STATEMENT_REJECTED;
    return new Problem(
        ProblemType.toKebabCase(type),
        type.httpStatus(),
        type.title(),
        rejected.message(),
        OutcomeKind.REJECTED,
        Duration.ZERO,
        List.of(),
        rejected);
  }

  private static Problem of(
      ProblemType type, String detail, OutcomeKind outcomeKind, Duration retryAfter) {
    return new Problem(
        ProblemType.toKebabCase(type),
        type.httpStatus(),
        type.title(),
        detail,
        outcomeKind,
        retryAfter,
        List.of(),
        null);
  }

  static Problem invalid(List<Finding> findings) {
    ProblemType type = ProblemType.INVALID_REQUEST;
    String detail = findings.size() + (findings.size() == 1 ? " mistake" : " mistakes");
    return new Problem(
        ProblemType.toKebabCase(type),
        type.httpStatus(),
        type.title(),
        detail,
        OutcomeKind.NOT_RUN,
        Duration.ZERO,
        List.copyOf(findings),
        null);
  }

  static Problem overloaded(Duration retryAfter, String detail) {
    return of(ProblemType.INSTANCE_OVERLOADED, detail, OutcomeKind.NOT_RUN, retryAfter);
  }
}
