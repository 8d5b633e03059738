package org.chicorylane.internal.admission;

/** How a dispatched request ended, as far as admission is concerned. */
public enum ServiceOutcome {
  /** The server served it. */
  OK,
  /** The server said that it has too much to do. */
  OVERLOAD,
  /** The connection failed or timed out. */
  ERROR
}
