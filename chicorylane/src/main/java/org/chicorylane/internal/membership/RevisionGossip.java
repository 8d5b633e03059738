package org.chicorylane.internal.membership;

import java.util.Map;
import java.util.function.Consumer;

/**
 * Gives access to the fleet's members and their revisions of the declarations, both of which the
 * membership protocol distributes by gossip.
 *
 * <p>Implementations are thread-safe. Listeners must not block.
 */
public interface RevisionGossip {

  /** Returns the present members of the fleet. */
  MembershipSnapshot snapshot();

  /**
   * Returns the last reported revision in force by instance id. The map omits this instance and
   * those that have not reported a revision.
   */
  Map<String, Long> revisions();

  /** Returns the highest revision that any instance has reported in force. */
  long highestRevisionSeen();

  /** Sets the declarations' revision that this instance has in force. */
  void setRevision(long revision);

  /** Calls {@code listener} with the present snapshot and with every later one. */
  void addListener(Consumer<MembershipSnapshot> listener);

  /** Calls {@code listener} with {@link #highestRevisionSeen}, now and whenever it rises. */
  void addRevisionListener(Consumer<Long> listener);
}
