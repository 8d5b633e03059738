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

  /** Has {@code listener} told of every change of the snapshot from now on. */
  void addListener(Consumer<MembershipSnapshot> listener);

  /** Has {@code listener} told of every rise of {@link #highestRevisionSeen}. */
  void addRevisionListener(Consumer<Long> listener);
}
