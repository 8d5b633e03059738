package org.chicorylane.standin.database;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The log of one server: what it committed or received, in commit order.
 *
 * <p>Thread-safe.
 */
final class ReplicationLog {

  /** Where the log of a new group begins. */
  static final long FIRST_LSN = 0x100_0000;

  /** How one log relates to another. */
  enum Relation {
    PREFIX,
    AHEAD,
    DIVERGED
  }

  /** A record and the {@link System#nanoTime} at which it came into this log. */
  record Entry(LogRecord record, long arrivalNanos) {}

  private final ArrayList<Entry> entries = new ArrayList<>();

  synchronized void append(LogRecord record) {
    entries.add(new Entry(record, System.nanoTime()));
  }

  synchronized int size() {
    return entries.size();
  }

  /** Returns the entry with the given number, or null if the log is not that long. */
  synchronized @Nullable Entry entry(int order) {
    return order >= 0 && order < entries.size() ? entries.get(order) : null;
  }

  /** Returns the position just past the last record. */
  synchronized long endLsn() {
    return entries.isEmpty() ? FIRST_LSN : entries.get(entries.size() - 1).record().lsn();
  }

  /** Returns the timeline of the last record. */
  synchronized int timeline() {
    return entries.isEmpty() ? 1 : entries.get(entries.size() - 1).record().timeline();
  }

  synchronized List<LogRecord> records() {
    return entries.stream().map(Entry::record).toList();
  }

  synchronized void clear() {
    entries.clear();
  }

  /**
   * Returns how this log relates to {@code other}. As every record is written once, by one server,
   * logs that share a record share all before it.
   */
  Relation relationTo(ReplicationLog other) {
    Entry last = entry(size() - 1);
    if (last == null) {
      return Relation.PREFIX;
    }
    Entry theirs = other.entry(last.record().order());
    if (theirs != null) {
      return theirs.record().equals(last.record()) ? Relation.PREFIX : Relation.DIVERGED;
    }
    Entry theirLast = other.entry(other.size() - 1);
    if (theirLast == null) {
      return Relation.AHEAD;
    }
    Entry mine = entry(theirLast.record().order());
    boolean shared = mine != null && mine.record().equals(theirLast.record());
    return shared ? Relation.AHEAD : Relation.DIVERGED;
  }
}
