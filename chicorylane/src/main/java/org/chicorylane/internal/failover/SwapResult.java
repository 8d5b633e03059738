package org.chicorylane.internal.failover;

import org.jspecify.annotations.Nullable;

/** The result of a compare-and-swap of the group's record. */
public sealed interface SwapResult {

  /**
   * The record was written.
   *
   * @param modRevision its new revision
   */
  record Applied(long modRevision) implements SwapResult {}

  /**
   * The record had a different revision than expected and was not written.
   *
   * @param current the record that the service holds; null if none
   */
  record Conflict(@Nullable StoredRecord current) implements SwapResult {}

  /**
   * No answer was received; the swap may still take effect, now or later.
   *
   * @param reason what failed
   */
  record Unsettled(String reason) implements SwapResult {}
}
