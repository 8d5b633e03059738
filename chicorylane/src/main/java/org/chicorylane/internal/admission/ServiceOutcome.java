package org.chicorylane.internal.admission;

/** Outcome of a dispatched request, as relevant to admission control. */
public enum ServiceOutcome {
  /** The server completed the request. */
  OK,
  /** The server reported that it is overloaded. */
  OVERLOAD,
  /** The connection failed or timed out. */
  ERROR
}
