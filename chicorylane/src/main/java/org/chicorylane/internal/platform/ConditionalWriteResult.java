package org.chicorylane.internal.platform;

import java.util.List;

/**
 * What became of a conditional write, after lost answers were looked into.
 *
 * <p>Immutable and thread-safe.
 */
public sealed interface ConditionalWriteResult {

  /**
   * The write took effect, once.
   *
   * @param revision the revision that holds it
   */
  record Applied(long revision) implements ConditionalWriteResult {}

  /**
   * A condition did not hold and the write did not take effect.
   *
   * @param current the present entries of the keys in the conditions; absent keys are left out
   */
  record Conflict(List<KeyValueEntry> current) implements ConditionalWriteResult {

    /** Copies the entries. */
    public Conflict {
      current = List.copyOf(current);
    }
  }

  /**
   * The store refused the write.
   *
   * @param reason why, for people
   */
  record Refused(String reason) implements ConditionalWriteResult {}

  /**
   * It cannot be told whether the write took effect, or may yet.
   *
   * @param reason why, for people
   */
  record Unsettled(String reason) implements ConditionalWriteResult {}
}
