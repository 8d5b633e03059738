package org.chicorylane.standin.wire;

import java.util.List;

/**
 * A commit in the log of a database server. The servers of a group share the entries, so that two
 * logs are equal up to an entry if both hold that entry. Guarded by the lock of the group.
 */
public final class LogEntry {

  private final long term;
  private final long number;
  private final List<String> requestIds;
  private final long appendedNanos;
  private boolean received;

  LogEntry(long term, long number, List<String> requestIds, long appendedNanos) {
    this.term = term;
    this.number = number;
    this.requestIds = List.copyOf(requestIds);
    this.appendedNanos = appendedNanos;
  }

  /** Returns the request ids of the transaction's writes and of its commit. */
  public List<String> requestIds() {
    return requestIds;
  }

  /** Returns the term and the number of the entry, separated by a period. */
  public String position() {
    return term + "." + number;
  }

  long term() {
    return term;
  }

  long number() {
    return number;
  }

  /** Returns the time at which the primary appended the entry, in nanoseconds. */
  long appendedNanos() {
    return appendedNanos;
  }

  /** Returns whether a replica has received the entry, which acknowledges the commit. */
  boolean isReceived() {
    return received;
  }

  void markReceived() {
    received = true;
  }
}
