package org.chicorylane.internal.quota;

import org.chicorylane.internal.pool.Work;

/** A statement's place in its transaction, on which its precedence depends. */
enum StatementPhase {
  /** A statement outside of a transaction. */
  SINGLE,
  /** The first statement of a transaction, for whose later ones tokens are kept. */
  FIRST,
  /** A later statement or the commit of a transaction. */
  LATER;

  /** Returns the phase of {@code work}. */
  static StatementPhase of(Work work) {
    if (!work.inTransaction()) {
      return SINGLE;
    }
    return work.begins() ? FIRST : LATER;
  }
}
