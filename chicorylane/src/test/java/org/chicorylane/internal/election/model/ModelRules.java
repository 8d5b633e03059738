package org.chicorylane.internal.election.model;

import java.util.EnumSet;

/**
 * The rule to be searched and the bounds of the search.
 *
 * @param conditions the conditions that the homes keep
 * @param bounds how often each limited event may happen
 * @param platform what the platform promises about orders
 */
record ModelRules(EnumSet<Condition> conditions, Bounds bounds, Platform platform) {

  /**
   * Bounds of a search; within them it is complete.
   *
   * @param instances number of instances, 1 to 3
   * @param commits number of commits, up to 3
   * @param terms highest term, up to 4; each promotion begins one
   * @param epochs highest epoch; each change of home begins one
   * @param instanceRestarts how often an instance may be killed and started again
   * @param replicaRestarts how often a stopped replica may restart
   * @param serverLosses how many servers may crash for good, 0 or 1
   */
  record Bounds(
      int instances,
      int commits,
      int terms,
      int epochs,
      int instanceRestarts,
      int replicaRestarts,
      int serverLosses) {

    /** Creates bounds within which no server crashes for good. */
    Bounds(
        int instances,
        int commits,
        int terms,
        int epochs,
        int instanceRestarts,
        int replicaRestarts) {
      this(instances, commits, terms, epochs, instanceRestarts, replicaRestarts, 0);
    }
  }

  boolean keeps(Condition condition) {
    return conditions.contains(condition);
  }
}
