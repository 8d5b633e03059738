package org.chicorylane.internal.platform;

import java.util.List;

/**
 * The result of one attempt at a conditional write to the key-value service.
 *
 * <p>Immutable and thread-safe.
 */
public sealed interface WriteResult {

  /**
   * The write took effect.
   *
   * @param revision the store revision of the write
   */
  record Applied(long revision) implements WriteResult {}

  /**
   * A condition did not hold; nothing was written.
   *
   * @param current the current entries of the keys in the conditions; absent keys are left out
   * @param revision the store revision at which the conditions were compared
   */
  record Conflict(List<KeyValueEntry> current, long revision) implements WriteResult {

    /** Copies the entries. */
    public Conflict {
      current = List.copyOf(current);
    }
  }

  /**
   * The store refused the write, for example because a value is too large; nothing was written.
   *
   * @param reason the reason, for people to read
   */
  record Refused(String reason) implements WriteResult {}

  /**
   * The store sent no usable answer. {@link ConditionalWriter} determines the outcome.
   *
   * @param reason the reason, for people to read
   * @param mayHaveApplied whether the write may have taken effect, or may still do so
   */
  record Unavailable(String reason, boolean mayHaveApplied) implements WriteResult {}
}
