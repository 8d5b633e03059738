package org.chicorylane.internal.election.model;

/** What must not happen in a state. */
enum Violation {
  /** An acknowledged commit is missing in the log of the newest primary. */
  LOST {
    @Override
    boolean isIn(ModelState s, int instances) {
      return (s.acknowledgedCommits() & ~s.log(s.leader(s.newestTerm()))) != 0;
    }
  },

  /** A home or successor reads at a primary that lacks an acknowledged commit. */
  STALE {
    @Override
    boolean isIn(ModelState s, int instances) {
      for (int i = 0; i < instances; i++) {
        if (s.mayRead(i) && (s.acknowledgedCommits() & ~s.log(s.primaryOf(i))) != 0) {
          return true;
        }
      }
      return false;
    }
  },

  /** A server was ordered while another instance was serving, or after a later home's order. */
  TWO_HOMES {
    @Override
    boolean isIn(ModelState s, int instances) {
      return s.get(ModelState.Group.ORDER_CONFLICT) != 0;
    }
  };

  /** Returns whether the state shows the violation. */
  abstract boolean isIn(ModelState s, int instances);
}
