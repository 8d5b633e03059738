package org.chicorylane.internal.admission;

/**
 * What must hold whenever a slot is taken or a ticket ends. A broken invariant stops the event with
 * an exception that carries the evidence, so nothing is dispatched on it.
 */
public enum AdmissionInvariant {
  /** A server runs at most as many requests as it has slots. */
  SLOTS_NOT_EXCEEDED,
  /** A class doesn't take a slot that is reserved for another. */
  RESERVED_SLOTS_KEPT,
  /** A ticket is dispatched or refused, once. */
  ONE_ENDING_PER_TICKET;

  /**
   * Checks the invariant.
   *
   * @param evidence what is seen; its text is built only for a violation
   * @throws IllegalStateException if it does not hold
   */
  void check(boolean holds, Object evidence) {
    if (!holds) {
      throw new IllegalStateException("invariant " + this + " is broken: " + evidence);
    }
  }
}
