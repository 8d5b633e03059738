package org.chicorylane.standin.database;

import java.util.List;

/**
 * One entry of a server's log: a committed transaction, or the start of a timeline.
 *
 * <p>Servers that share a part of their history share its records: two records are equal only if
 * they were written by the same commit.
 *
 * @param lsn the position just past this record, in bytes
 * @param timeline the timeline on which it was written
 * @param order the number of records before it in the log, which is its place in commit order
 * @param origin the server that wrote it
 * @param originIncarnation counts the starts of that server
 * @param statements what the transaction did; empty for the start of a timeline
 */
public record LogRecord(
    long lsn,
    int timeline,
    int order,
    String origin,
    long originIncarnation,
    List<LoggedStatement> statements) {

  /** Returns whether this record marks the start of its timeline instead of a transaction. */
  public boolean startsTimeline() {
    return statements.isEmpty();
  }
}
