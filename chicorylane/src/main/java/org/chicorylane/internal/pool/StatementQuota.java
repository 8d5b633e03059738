package org.chicorylane.internal.pool;

import org.jspecify.annotations.Nullable;

/**
 * Limits the statements that may be sent to servers.
 *
 * <p>Confined to the instance's thread.
 */
public interface StatementQuota {

  /** Limits nothing. */
  StatementQuota UNLIMITED =
      new StatementQuota() {
        @Override
        public @Nullable Refusal checkNew(Work work) {
          return null;
        }

        @Override
        public @Nullable Refusal take(Work work) {
          return null;
        }
      };

  /**
   * Why a statement is not sent.
   *
   * @param reason the reason, for the client
   * @param retryMillis the time in milliseconds after which the client may retry
   */
  record Refusal(String reason, long retryMillis) {}

  /**
   * Returns the refusal of a single statement or a transaction's first one that has just arrived;
   * null if it may wait for a server. Spends nothing.
   */
  @Nullable Refusal checkNew(Work work);

  /** Charges one statement that is about to be sent, or returns why it must not be sent. */
  @Nullable Refusal take(Work work);
}
