package org.chicorylane.internal.outcome;

/** The reason why a request was not run, with its HTTP status and the title of its problem. */
public enum NotRunReason {
  /** The queue for the group's servers was full, or the request's class had no room left in it. */
  OVERLOADED(503, "The database group is overloaded"),
  /** The deadline would have passed before a server slot became free. */
  DEADLINE_TOO_CLOSE(504, "The request could not have been served before its deadline"),
  /** The group has no primary that accepts writes at the moment. */
  NO_PRIMARY(503, "The database group has no primary at the moment"),
  /** No server's data is fresh enough for the read. */
  TOO_STALE(503, "No server has data that is fresh enough"),
  /** The instance is not the home of the group; the entry tries another instance. */
  NOT_HOME(503, "The database group is changing its home"),
  /** None of the instances that may be the home of the group was reachable. */
  HOME_UNREACHABLE(503, "The home of the database group is not reachable"),
  /** The session saw data in the tail of a term that was lost with its primary. */
  SESSION_HISTORY_LOST(409, "Data that the session has seen was lost with a primary"),
  /** The group is not declared. */
  UNKNOWN_GROUP(404, "The database group is not declared"),
  /** The interactive transaction does not exist or has ended. */
  UNKNOWN_TRANSACTION(404, "The transaction does not exist or has ended"),
  /** The idempotency key was already used for another request. */
  KEY_REUSED(422, "The idempotency key belongs to another request"),
  /** The request violates what operators declared for its class. */
  NOT_ALLOWED(422, "The request class does not allow the request"),
  /** The instance is shutting down. */
  SHUTTING_DOWN(503, "The instance is shutting down");

  private final int httpStatus;
  private final String title;

  NotRunReason(int httpStatus, String title) {
    this.httpStatus = httpStatus;
    this.title = title;
  }

  /** Returns the HTTP status of the response. */
  public int httpStatus() {
    return httpStatus;
  }

  /** Returns the title of the problem document in the response. */
  public String title() {
    return title;
  }

  /** Returns whether the same request, unchanged, may succeed later. */
  public boolean isTransient() {
    return httpStatus >= 500;
  }
}
