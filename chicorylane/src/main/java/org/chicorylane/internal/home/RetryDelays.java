package org.chicorylane.internal.home;

import java.time.Duration;
import org.chicorylane.internal.outcome.NotRunReason;

/** When callers of refused requests should come back. */
final class RetryDelays {
  /** After a short trouble. */
  static final Duration SOON = Duration.ofMillis(500);

  private RetryDelays() {}

  /** Returns zero for reasons that time does not mend. */
  static Duration forReason(NotRunReason reason) {
    return reason.isTransient() ? SOON : Duration.ZERO;
  }
}
