package org.chicorylane.internal.report;

import java.time.Duration;
import org.chicorylane.internal.outcome.NotRunReason;
import org.chicorylane.internal.outcome.Outcome;

/** What a request counts as against an objective. */
enum RequestVerdict {
  /** Answered by the database in time. */
  GOOD,
  /** Answered too late, or not run, or its result is unknown. */
  BAD,
  /** Wrong by the caller's own doing; says nothing of the service. */
  NOT_COUNTED;

  /**
   * Classifies a request.
   *
   * @param elapsed the time from submission to outcome
   * @param latency the objective's latency; an answer at exactly this time is good
   */
  static RequestVerdict of(Outcome outcome, Duration elapsed, Duration latency) {
    if (outcome instanceof Outcome.Unknown) {
      return BAD;
    }
    if (outcome instanceof Outcome.NotRun notRun) {
      return isServiceFault(notRun.reason()) ? BAD : NOT_COUNTED;
    }
    return elapsed.compareTo(latency) <= 0 ? GOOD : BAD;
  }

  private static boolean isServiceFault(NotRunReason reason) {
    return reason.isTransient() || reason == NotRunReason.SESSION_HISTORY_LOST;
  }
}
