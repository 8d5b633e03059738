package org.chicorylane.internal.failover;

/** What a home uses a backend server for. */
public enum ServerRole {
  /** Writes, while writes are open, and reads. */
  PRIMARY,
  /** Reads for which its data is fresh enough. */
  REPLICA
}
