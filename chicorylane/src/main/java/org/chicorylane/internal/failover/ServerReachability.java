package org.chicorylane.internal.failover;

/** Whether another instance can reach a backend server, as that instance reported it. */
public enum ServerReachability {
  /** The server answered a query from that instance. */
  REACHABLE,
  /** The server refused the connection, or did not answer within the probe's timeout. */
  UNREACHABLE,
  /** The instance that was asked did not answer. */
  NO_ANSWER
}
