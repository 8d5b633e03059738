package org.chicorylane.internal.admission;

/**
 * Conditions that must hold whenever a slot is taken or a ticket ends. A violation aborts the event
 * with an exception that describes the state, so that no request is dispatched because of it.
 */
public enum AdmissionInvariant {
  /** A server runs at most as many requests as it has slots. */
  SLOTS_NOT_EXCEEDED,
  /** A class doesn't take a slot that is reserved for another class. */
  RESERVED_SLOTS_KEPT,
  /** A ticket is dispatched or refused exactly once. */
  ONE_ENDING_PER_TICKET;

  /**
   * Checks the invariant.
   *
   * @param evidence the observed state; converted to text only for a violation
   * @throws IllegalStateException if the invariant does not hold
   */
  void check(boolean holds, Object evidence) {
    if (!holds) {
      throw new IllegalStateException("invariant " + this + " is broken: " + evidence);
    }
  }
}
