package org.chicorylane.internal.report;

import java.time.Duration;
import org.chicorylane.internal.outcome.NotRunReason;
import org.chicorylane.internal.outcome.Outcome;

/** Whether a request counts as good or bad against an objective. */
enum ObjectiveResult {
  /** Answered by the database within the objective's latency. */
  GOOD,
  /** Answered too late, not run through a fault of the service, or of unknown result. */
  BAD,
  /** Failed through an error of the caller; not counted against the service. */
  NOT_COUNTED;

  /**
   * Classifies a request.
   *
   * @param elapsed the time from submission to outcome
   * @param latency the objective's latency; an answer at exactly this time is good
   */
  static ObjectiveResult of(Outcome outcome, Duration elapsed, Duration latency) {
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
