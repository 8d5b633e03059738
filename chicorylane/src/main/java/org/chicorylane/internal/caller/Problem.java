package org.chicorylane.internal.caller;

import java.time.Duration;
import java.util.List;
import org.chicorylane.internal.finding.Finding;
import org.chicorylane.internal.outcome.NotRunReason;
import org.chicorylane.internal.outcome.Outcome;
import org.jspecify.annotations.Nullable;

/**
 * An error as reported to callers, following RFC 9457 (problem details).
 *
 * @param name the last segment of the type URI, and the anchor in the troubleshooting page
 * @param status the HTTP status
 * @param title description of the type of problem
 * @param detail description of the problem with this request
 * @param outcomeKind whether the request ran
 * @param retryAfter how long to wait before a retry; zero if a retry cannot help
 * @param findings the mistakes in the request; empty for other problems
 * @param rejection the error from the database; null unless the database rejected a statement
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

  /** Whether a request that did not complete ran. */
  enum OutcomeKind {
    /** It was not run and will not be run. */
    NOT_RUN,
    /** It is unknown whether it ran. */
    UNKNOWN,
    /** The database rejected it, and it has no effect. */
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
