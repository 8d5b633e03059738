package org.chicorylane.internal.election.model;

/** The conditions of the promotion rule. The search leaves out one at a time. */
enum Condition {
  /** A home that inherits a promotion serves nothing at the old primary until it has ended. */
  WAIT_FOR_INHERITED_PROMOTION,

  /** From the choice on, an answered commit is reported as in doubt. */
  NO_SUCCESS_AFTER_CHOICE,

  /** After a later primary was adopted, a commit of an earlier term is reported as in doubt. */
  NO_SUCCESS_OF_EARLIER_TERM,

  /** Without a valid lease, an answered commit is reported as in doubt. */
  NO_SUCCESS_WITHOUT_LEASE,

  /** A replica that is not registered counts as silent, not as absent. */
  REMEMBER_MEMBERS,

  /**
   * While a promotion is recorded, another primary than its target is adopted only after the
   * exclusion and the end of the orders.
   */
  ADOPT_RECORDED_TARGET_ONLY,

  /** Another primary than the recorded target is served only after the record names it. */
  RECORD_OTHER_PRIMARY_FIRST,

  /**
   * After an unanswered write of a promotion, the home serves again only after another write, which
   * makes the first one fail.
   */
  OVERWRITE_UNANSWERED_PROMOTION,

  /** Only a replica's answer to a stop that was sent after the exclusion counts. */
  COUNT_STOPPED_ANSWERS_ONLY,

  /**
   * The primary's log end bounds the acknowledged commits only if read after the exclusion. Needed
   * only without {@link #LOSE_BOUND_WITH_UNKNOWN_HOLDER}.
   */
  LEARN_BOUND_AFTER_EXCLUSION,

  /** An instance that refuses connections counts as running until its lease has ended. */
  COUNT_CONFIRMED_STOPS_ONLY,

  /** The bound becomes unknown when an instance is excluded that did not tell its successes. */
  LOSE_BOUND_WITH_UNKNOWN_HOLDER,

  /** A stopped instance tells its successes again when it is asked again. */
  REPEAT_STOP_ANSWER,

  /** A successor that stopped is excluded under the same record only. */
  EXCLUDE_SUCCESSOR_AGAIN,

  /** No server is ordered while an order for another one can still take effect. */
  ONE_TARGET,

  /**
   * A home resumes a replica only with a valid lease and without a recorded promotion. Not needed
   * beside the other conditions, which also hold if a stopped replica restarts.
   */
  RESUME_WITH_LEASE_ONLY,

  /**
   * A server that leads an earlier term, since it does not know that it was replaced, counts as
   * silent until it has stepped down and was stopped.
   */
  COUNT_REPLACED_PRIMARY_AS_SILENT,

  /** A home has such a server step down. Needed for progress only. */
  STEP_DOWN_REPLACED_PRIMARY,

  /**
   * During a change a home lets a stopped replica receive again, if the server that leads the
   * recorded term is ahead of it. Needed for progress only.
   */
  RESUME_BEHIND_LEADER,

  /** The recorded primary may be chosen if it is a replica now. Needed for progress only. */
  CHOOSE_FORMER_PRIMARY,

  /** The home's own acknowledged commits must be covered even if all replicas have answered. */
  COVER_OWN_SUCCESSES,

  /** Orders still count after the promoted server leads, since a repeated call may be late. */
  REMEMBER_REPEATED_ORDERS,

  /** Work of a retired pool keeps its own lease, and a later pool's halt applies to it as well. */
  HALT_RETIRED_WORK
}
