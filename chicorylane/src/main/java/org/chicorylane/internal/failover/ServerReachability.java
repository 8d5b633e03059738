package org.chicorylane.internal.failover;

/** What another instance says about a backend server. */
public enum ServerReachability {
  /** The server answered a query of that instance. */
  REACHABLE,
  /** The server refused, or did not answer within the probe's timeout. */
  UNREACHABLE,
  /** The instance itself did not answer. */
  NO_ANSWER
}
