package org.chicorylane.internal.relay;

import java.time.Duration;

/**
 * Timings of relay connections.
 *
 * @param connectTimeout the timeout of opening a connection
 * @param heartbeatInterval the time without a write after which a ping is sent
 * @param readTimeout the time without received data after which the connection is closed
 * @param idleLimit how long an unused connection is kept; not applied at present
 */
public record RelayTimings(
    Duration connectTimeout, Duration heartbeatInterval, Duration readTimeout, Duration idleLimit) {

  /** The timings that apply unless the settings name others. */
  public static final RelayTimings DEFAULT =
      new RelayTimings(
          Duration.ofMillis(500),
          Duration.ofMillis(300),
          Duration.ofMillis(1000),
          Duration.ofMinutes(5));
}
