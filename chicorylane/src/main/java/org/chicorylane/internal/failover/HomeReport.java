package org.chicorylane.internal.failover;

/** What a home tells its operators. */
public enum HomeReport {
  /** The home owns the primary and a confirming majority. */
  HOME_TAKEN(false),
  /** The home let go of the group's servers. */
  HOME_RELEASED(false),
  /** The primary does not answer. */
  PRIMARY_SUSPECTED(true),
  /** Another instance reaches the primary; this one steps aside. */
  STEPPING_ASIDE(true),
  /** Other instances do not reach the primary either. */
  PRIMARY_LOST(true),
  /** A majority of servers is sealed. */
  MAJORITY_SEALED(false),
  /** The record names the new primary. */
  PRIMARY_CHOSEN(true),
  /** The new primary was promoted. */
  PROMOTED(false),
  /** Another instance changed the record first. */
  RECORD_CONFLICT(true),
  /** The key-value service does not answer. */
  RECORD_UNAVAILABLE(true),
  /** The servers themselves show the term while the key-value service does not answer. */
  RECORD_INFERRED(true),
  /** A server has to be rebuilt as a replica of the current primary. */
  REBUILD_NEEDED(true),
  /** A leaving primary hands over to a replica. */
  SWITCHOVER_STARTED(false),
  /** The voters of the group changed. */
  VOTERS_CHANGED(false),
  /** A statement on a control connection failed. */
  CONTROL_COMMAND_FAILED(true);

  private final boolean isWarning;

  HomeReport(boolean isWarning) {
    this.isWarning = isWarning;
  }

  /** Returns whether it belongs into a log at warning level. */
  public boolean isWarning() {
    return isWarning;
  }
}
