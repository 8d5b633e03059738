package org.chicorylane.internal.failover;

import org.jspecify.annotations.Nullable;

/** What became of a compare-and-swap of the group's record. */
public sealed interface SwapResult {

  /**
   * The record was written.
   *
   * @param modRevision its new revision
   */
  record Applied(long modRevision) implements SwapResult {}

  /**
   * The record had another revision than expected; nothing was written.
   *
   * @param current what the service holds; null if nothing
   */
  record Conflict(@Nullable StoredRecord current) implements SwapResult {}

  /**
   * No answer came; the swap may take effect, now or later.
   *
   * @param reason what failed
   */
  record Unsettled(String reason) implements SwapResult {}
}
