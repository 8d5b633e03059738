package org.chicorylane.internal.platform;

import java.util.List;
import java.util.Optional;

/**
 * The result of a read from the key-value service.
 *
 * <p>Immutable and thread-safe.
 */
public sealed interface ReadResult {

  /**
   * The store answered.
   *
   * @param entries the entries found, in order of keys
   * @param revision the store's revision at the read
   */
  record Read(List<KeyValueEntry> entries, long revision) implements ReadResult {

    /** Copies the entries. */
    public Read {
      entries = List.copyOf(entries);
    }

    /** Returns the first entry, for reads of a single key; empty if there is none. */
    public Optional<KeyValueEntry> first() {
      return entries.stream().findFirst();
    }
  }

  /**
   * The store refused the read, for example because its revision is compacted.
   *
   * @param reason the reason, for people to read
   */
  record Refused(String reason) implements ReadResult {}

  /**
   * The store sent no usable answer.
   *
   * @param reason the reason, for people to read
   */
  record Unavailable(String reason) implements ReadResult {}
}
