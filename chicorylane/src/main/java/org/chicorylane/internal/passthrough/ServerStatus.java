package org.chicorylane.internal.passthrough;

import org.chicorylane.internal.position.LogPosition;
import org.jspecify.annotations.Nullable;

/**
 * The status that a backend server reports about itself.
 *
 * @param primary whether the server considers itself the primary
 * @param term the server's current term
 * @param received the end of the server's log
 * @param sealedTerm the term for which the replica is sealed, 0 if it receives the log
 * @param lagMillis the milliseconds by which its applied data is behind
 * @param busySlots the number of slots in use, by all instances; null if the server does not tell
 */
public record ServerStatus(
    boolean primary,
    long term,
    LogPosition received,
    long sealedTerm,
    long lagMillis,
    @Nullable Integer busySlots) {

  /** Creates the status of a server that does not report how many slots are in use. */
  public ServerStatus(
      boolean primary, long term, LogPosition received, long sealedTerm, long lagMillis) {
    this(primary, term, received, sealedTerm, lagMillis, null);
  }
}
