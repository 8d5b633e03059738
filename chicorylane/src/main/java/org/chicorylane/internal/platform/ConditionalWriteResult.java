package org.chicorylane.internal.platform;

import java.util.List;

/**
 * The result of a conditional write by a {@link ConditionalWriter}, which has checked whether a
 * write without an answer took effect.
 *
 * <p>Immutable and thread-safe.
 */
public sealed interface ConditionalWriteResult {

  /**
   * The write took effect exactly once.
   *
   * @param revision the store revision of the write
   */
  record Applied(long revision) implements ConditionalWriteResult {}

  /**
   * A condition did not hold and the write did not take effect.
   *
   * @param current the current entries of the keys in the conditions; absent keys are left out
   */
  record Conflict(List<KeyValueEntry> current) implements ConditionalWriteResult {

    /** Copies the entries. */
    public Conflict {
      current = List.copyOf(current);
    }
  }

  /**
   * The store refused the write, which did not take effect.
   *
   * @param reason the reason, for people to read
   */
  record Refused(String reason) implements ConditionalWriteResult {}

  /**
   * The outcome is unknown: the write may have taken effect, or may still do so.
   *
   * @param reason the reason, for people to read
   */
  record Unsettled(String reason) implements ConditionalWriteResult {}
}
