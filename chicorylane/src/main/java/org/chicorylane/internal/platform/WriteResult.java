package org.chicorylane.internal.platform;

import java.util.List;

/**
 * What became of a conditional write to the key-value service.
 *
 * <p>Immutable and thread-safe.
 */
public sealed interface WriteResult {

  /**
   * The write took effect.
   *
   * @param revision the store's revision that holds it
   */
  record Applied(long revision) implements WriteResult {}

  /**
   * A condition did not hold; nothing was written.
   *
   * @param current the present entries of the keys in the conditions; absent keys are left out
   * @param revision the store's revision at the comparison
   */
  record Conflict(List<KeyValueEntry> current, long revision) implements WriteResult {

    /** Copies the entries. */
    public Conflict {
      current = List.copyOf(current);
    }
  }

  /**
   * The store refused the write, such as a value that is too large; nothing was written.
   *
   * @param reason why, for people
   */
  record Refused(String reason) implements WriteResult {}

  /**
   * No answer came. {@link ConditionalWriter} finds out what happened.
   *
   * @param reason why, for people
   * @param mayHaveApplied whether the write may have taken effect, or may yet
   */
  record Unavailable(String reason, boolean mayHaveApplied) implements WriteResult {}
}
