package org.chicorylane.internal.relay;

import java.util.List;

/** This instance's current view of all instances. Implementations are thread-safe. */
public interface Fleet {

  /** Returns this instance. */
  PeerAddress self();

  /**
   * Returns the live instances in the order in which they are preferred as the home of {@code
   * group}, the most preferred first.
   */
  List<PeerAddress> candidates(String group);

  /** Returns every other live instance. */
  List<PeerAddress> others();
}
