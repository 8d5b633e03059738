package org.chicorylane.internal.proxy;

import org.chicorylane.internal.mesh.EnumNumbers;

/**
 * Kinds of questions between instances.
 *
 * <p>Messages carry the ordinal, so new constants go to the end.
 */
enum PeerQuestion {
  /** Asks whether the peer can reach a server. */
  PROBE_SERVER,
  /** Asks whether the peer can reach the home of a group. */
  HEARS_HOME,
  /** Asks the peer to become the home of a group. */
  TAKE_HOME,
  /** Asks the peer to stop its work as the home of a group at once, and to end what still runs. */
  STOP_HOME,
  /** Asks the peer to read all keys under a prefix of the key-value store. */
  STORE_RANGE,
  /** Asks the peer to run a transaction in the key-value store. */
  STORE_TRANSACT,
  /**
   * Asks the peer to accept no new work as the home of a group, and whether all earlier work has
   * ended.
   */
  END_HOME,
  /**
   * Asks for how long a server has been draining at most. The reply has the time in nanoseconds as
   * its revision, and is negative if the peer does not know.
   */
  DRAIN_AGE,
  /**
   * Asks for the changes under a prefix of the key-value store after a revision, as soon as there
   * are any. The reply is negative if the peer does not watch the store itself.
   */
  STORE_WATCH,
  /**
   * Asks for the age of the peer's confirmation of the configuration. The reply has the age in
   * nanoseconds as its revision, and the configuration if it is newer than the version that the
   * question gives; it is negative if the peer has no confirmation.
   */
  CONFIRMATION_AGE,
  /**
   * Asks for tokens of client accounts that the peer does not need. The arguments are the accounts,
   * each followed by the tokens that are wanted; the results are the accounts, each followed by the
   * tokens that are lent.
   */
  QUOTA_GRANT;

  /** The constants' numbers in messages. */
  static final EnumNumbers<PeerQuestion> NUMBERS = EnumNumbers.of(PeerQuestion.class);
}
