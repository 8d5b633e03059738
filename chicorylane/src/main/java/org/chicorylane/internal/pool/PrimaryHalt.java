package org.chicorylane.internal.pool;

/** Which new work for a primary is held back while another server takes over. */
public enum PrimaryHalt {
  /** Nothing is held back. */
  NOTHING {
    @Override
    boolean allows(Work work) {
      return true;
    }
  },
  /** Reads go on: until the other server leads, the primary holds every acknowledged commit. */
  WRITES {
    @Override
    boolean allows(Work work) {
      return work.inTransaction() ? work.readOnly() : !work.writes();
    }
  },
  /** Another server may lead any moment. */
  EVERYTHING {
    @Override
    boolean allows(Work work) {
      return false;
    }
  };

  /** Returns whether the work may begin at the primary. */
  abstract boolean allows(Work work);
}
