package org.chicorylane.internal.pool;

/** Specifies which new work is held back from a primary while another server takes over. */
public enum PrimaryHalt {
  /** No work is held back. */
  NOTHING {
    @Override
    boolean allows(Work work) {
      return true;
    }
  },
  /**
   * Writes and read-write transactions are held back. Reads continue: until the other server is
   * promoted, the primary holds every acknowledged commit.
   */
  WRITES {
    @Override
    boolean allows(Work work) {
      return work.inTransaction() ? work.readOnly() : !work.isWrite();
    }
  },
  /** All work is held back, since another server may become primary at any moment. */
  EVERYTHING {
    @Override
    boolean allows(Work work) {
      return false;
    }

    @Override
    boolean allowsAcknowledgement() {
      return false;
    }
  };

  /** Returns whether the work may be started on the primary. */
  abstract boolean allows(Work work);

  /**
   * Returns whether a commit that the primary reports as successful may be acknowledged. Returns
   * false once the server to promote may have been chosen: its log need not hold the commit.
   */
  boolean allowsAcknowledgement() {
    return true;
  }
}
