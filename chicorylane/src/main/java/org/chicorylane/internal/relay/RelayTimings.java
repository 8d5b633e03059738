package org.chicorylane.internal.relay;

import java.time.Duration;

/**
 * Timings of relay connections.
 *
 * @param connectTimeout how long a new connection may take
 * @param heartbeatInterval how often a connection that waits for answers is checked
 * @param silenceLimit how long a connection may stay without a byte before it is given up
 * @param idleLimit how long an unused connection is kept
 */
public record RelayTimings(
    Duration connectTimeout,
    Duration heartbeatInterval,
    Duration silenceLimit,
    Duration idleLimit) {

  /** The timings in use when settings name none. */
  public static final RelayTimings DEFAULT =
      new RelayTimings(
          Duration.ofMillis(500),
          Duration.ofMillis(300),
          Duration.ofMillis(1000),
          Duration.ofMinutes(5));
}
