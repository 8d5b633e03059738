package org.chicorylane.internal.election;

import java.util.function.Consumer;

/** Orders the platform to make a server the primary of its group. */
public interface Promoter {

  /**
   * Orders a promotion.
   *
   * @param group the database group
   * @param serverId the server that is to take over
   * @param fencingToken grows with each change of the holder
   * @param outcome told once, on the instance's thread
   */
  void promote(String group, String serverId, long fencingToken, Consumer<Outcome> outcome);

  /** What became of an order. */
  enum Outcome {
    /** The server will lead soon. */
    ACCEPTED,
    /** The server is not running, or the order is out of date. */
    REJECTED,
    /** Unknown; the order may still take effect. */
    UNKNOWN
  }
}
