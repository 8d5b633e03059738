package org.chicorylane.internal.home;

import java.time.Duration;
import org.chicorylane.internal.outcome.NotRunReason;

/** The delays after which callers of refused requests should try again. */
final class RetryDelays {
  /** For a fault that is expected to pass soon. */
  static final Duration SOON = Duration.ofMillis(500);

  private RetryDelays() {}

  /** Returns the delay for {@code reason}; zero if the reason is not transient. */
  static Duration forReason(NotRunReason reason) {
    return reason.isTransient() ? SOON : Duration.ZERO;
  }
}
