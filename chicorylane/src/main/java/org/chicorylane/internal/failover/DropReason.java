package org.chicorylane.internal.failover;

/** Why a home stops using a backend server. */
public enum DropReason {
  /** Its control connection was lost or stopped responding. */
  LOST,
  /** It is declared as leaving or is no longer declared. */
  LEAVING,
  /** It is a former primary or has log that the current primary does not have. */
  DIVERGED,
  /** The group moves to another home. */
  HANDING_OVER
}
