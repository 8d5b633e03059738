package org.chicorylane.internal.failover;

/** An occurrence that a home reports to operators in the log. */
public enum HomeReport {
  /** The home owns the primary and a confirming majority. */
  HOME_TAKEN(false),
  /** The home released the group's servers. */
  HOME_RELEASED(false),
  /** The primary does not answer. */
  PRIMARY_SUSPECTED(true),
  /** Another instance reaches the primary while this one does not, so this one steps aside. */
  STEPPING_ASIDE(true),
  /** The primary counts as lost: other instances do not reach it either, or there are none. */
  PRIMARY_LOST(true),
  /** A majority of the voters is sealed, or the replicas that a planned switchover needs. */
  MAJORITY_SEALED(false),
  /** The record names the new primary. */
  PRIMARY_CHOSEN(true),
  /** The new primary was promoted. */
  PROMOTED(false),
  /** Another instance changed the record first. */
  RECORD_CONFLICT(true),
  /** The key-value service does not answer. */
  RECORD_UNAVAILABLE(true),
  /** The term was inferred from the servers because the key-value service does not answer. */
  RECORD_INFERRED(true),
  /** A server has to be rebuilt as a replica of the current primary. */
  REBUILD_NEEDED(true),
  /** A switchover from a leaving primary to a replica has started. */
  SWITCHOVER_STARTED(false),
  /** The voters of the group changed. */
  VOTERS_CHANGED(false),
  /** A statement on a control connection failed. */
  CONTROL_COMMAND_FAILED(true);

  private final boolean isWarning;

  HomeReport(boolean isWarning) {
    this.isWarning = isWarning;
  }

  /** Returns whether the report is logged at warning level rather than info level. */
  public boolean isWarning() {
    return isWarning;
  }
}
