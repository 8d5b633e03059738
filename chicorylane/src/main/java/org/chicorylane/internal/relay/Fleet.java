package org.chicorylane.internal.relay;

import java.util.List;

/** The instances as this one sees them at the moment. Implementations are thread-safe. */
public interface Fleet {

  /** Returns this instance. */
  PeerAddress self();

  /**
   * Returns the live instances in the order in which they may be home of {@code group}, the
   * preferred one first.
   */
  List<PeerAddress> candidates(String group);

  /** Returns every other live instance. */
  List<PeerAddress> others();
}
