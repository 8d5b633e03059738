package org.chicorylane.internal.proxy;

import org.chicorylane.internal.mesh.EnumNumbers;

/** Questions between instances. */
enum PeerQuestion {
  /** Asks whether the instance reaches a server. */
  PROBE_SERVER,
  /** Asks whether the instance hears the home of a group. */
  HEARS_HOME,
  /** Become the home of a group. */
  TAKE_HOME,
  /** Stop working as the home of a group, at once. */
  STOP_HOME,
  /** Read a range of the key-value store. */
  STORE_RANGE,
  /** Run a transaction of the key-value store. */
  STORE_TRANSACT,
  /** Take no new work as the home of a group; asks whether what ran has ended. */
  END_HOME;

  /** The numbers in messages. */
  static final EnumNumbers<PeerQuestion> NUMBERS = EnumNumbers.of(PeerQuestion.class);
}
