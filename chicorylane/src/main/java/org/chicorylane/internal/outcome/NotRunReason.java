package org.chicorylane.internal.outcome;

/** Why a request was not run. Each reason knows its HTTP status and its problem title. */
public enum NotRunReason {
  /** The queue before the group's servers was full, or the class had no room left. */
  OVERLOADED(503, "The database group is overloaded"),
  /** The deadline would have passed before a slot was free. */
  DEADLINE_TOO_CLOSE(504, "The request could not have been served before its deadline"),
  /** No primary accepts writes at the moment. */
  NO_PRIMARY(503, "The database group has no primary at the moment"),
  /** No server has data that is fresh enough for the read. */
  TOO_STALE(503, "No server has data that is fresh enough"),
  /** The instance asked is not the home of the group; an entry asks another. */
  NOT_HOME(503, "The database group is changing its home"),
  /** No instance that could be the group's home was reachable. */
  HOME_UNREACHABLE(503, "The home of the database group is not reachable"),
  /** The session saw data of a term whose tail was lost. */
  SESSION_HISTORY_LOST(409, "Data that the session has seen was lost with a primary"),
  /** The group is not declared. */
  UNKNOWN_GROUP(404, "The database group is not declared"),
  /** The interactive transaction does not exist or has ended. */
  UNKNOWN_TRANSACTION(404, "The transaction does not exist or has ended"),
  /** The same idempotency key came with another request. */
  KEY_REUSED(422, "The idempotency key belongs to another request"),
  /** The request breaks what the operators declared for its class. */
  NOT_ALLOWED(422, "The request class does not allow the request"),
  /** The instance is shutting down. */
  SHUTTING_DOWN(503, "The instance is shutting down");

  private final int httpStatus;
  private final String title;

  NotRunReason(int httpStatus, String title) {
    this.httpStatus = httpStatus;
    this.title = title;
  }

  /** Returns the HTTP status that callers see. */
  public int httpStatus() {
    return httpStatus;
  }

  /** Returns the title of the problem document. */
  public String title() {
    return title;
  }

  /** Returns whether the same request may succeed later without a change. */
  public boolean isTransient() {
    return httpStatus >= 500;
  }
}
