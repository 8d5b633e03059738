package org.chicorylane.internal.platform;

import java.util.List;
import java.util.Optional;

/**
 * What became of a read of the key-value service.
 *
 * <p>Immutable and thread-safe.
 */
public sealed interface ReadResult {

  /**
   * The store answered.
   *
   * @param entries the entries found, by key
   * @param revision the store's revision at the read
   */
  record Read(List<KeyValueEntry> entries, long revision) implements ReadResult {

    /** Copies the entries. */
    public Read {
      entries = List.copyOf(entries);
    }

    /** Returns the first entry, for reads of a single key. */
    public Optional<KeyValueEntry> first() {
      return entries.stream().findFirst();
    }
  }

  /**
   * The store answered that it will not serve the read, such as one of a compacted revision.
   *
   * @param reason why, for people
   */
  record Refused(String reason) implements ReadResult {}

  /**
   * No answer came.
   *
   * @param reason why, for people
   */
  record Unavailable(String reason) implements ReadResult {}
}
