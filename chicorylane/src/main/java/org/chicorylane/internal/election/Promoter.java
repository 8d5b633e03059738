package org.chicorylane.internal.election;

import java.util.function.Consumer;

/** Requests promotions of servers to primary from the platform, guarded by a fencing token. */
public interface Promoter {

  /**
   * Requests a promotion.
   *
   * @param group the database group
   * @param serverId the server to promote
   * @param fencingToken the fencing token, which grows with each change of the holder
   * @param outcome called once, on the instance's thread
   */
  void promote(String group, String serverId, long fencingToken, Consumer<Outcome> outcome);

  /** Result of a promotion request. */
  enum Outcome {
    /** The request was accepted; the server will become the primary. */
    ACCEPTED,
    /** The server is not running, or the request is out of date. */
    REJECTED,
    /** The result is unknown; the request may still take effect. */
    UNKNOWN
  }
}
