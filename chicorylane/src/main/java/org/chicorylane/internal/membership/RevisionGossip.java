package org.chicorylane.internal.membership;

import java.util.Map;
import java.util.function.Consumer;

/**
 * What the membership protocol tells about the fleet and the declarations' revisions in it.
 *
 * <p>Implementations are thread-safe. Listeners must not block.
 */
public interface RevisionGossip {

  /** Returns who is in the fleet. */
  MembershipSnapshot snapshot();

  /** Returns the revision in force by instance, as far as heard; this instance is not in it. */
  Map<String, Long> revisions();

  /** Returns the highest revision that any instance was heard to have in force. */
  long highestRevisionSeen();

  /** Sets the declarations' revision that this instance has in force. */
  void setRevision(long revision);

  /** Has {@code listener} told of the present snapshot and of every later one. */
  void addListener(Consumer<MembershipSnapshot> listener);

  /** Has {@code listener} told of {@link #highestRevisionSeen}, now and at every rise. */
  void addRevisionListener(Consumer<Long> listener);
}
