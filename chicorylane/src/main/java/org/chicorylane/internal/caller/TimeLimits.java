package org.chicorylane.internal.caller;

import java.time.Duration;
import java.util.Collections;
import java.util.List;

/**
 * Timeouts for connections, and deadlines for requests.
 *
 * @param defaultDeadline time until the deadline of a request that specifies none
 * @param maximumDeadline upper bound for the time until a deadline; longer ones are shortened to it
 * @param answerGrace how long after the deadline the server still waits for the outcome from the
 *     service
 * @param headersTimeout maximum time from the first byte of a request to the end of its header
 *     fields
 * @param bodyTimeout maximum time from the end of the header fields to the end of the body
 * @param keepAliveTimeout how long a connection stays open without a request
 * @param pingInterval interval between pings on an HTTP/2 connection; a ping that is unanswered
 *     when the next is due closes the connection
 * @param writeTimeout maximum time that a caller may take to read a response
 * @param drainNotice during a drain, time from the readiness check returning 503 until new
 *     connections are refused
 * @param goAwayDelay during a drain, maximum delay of GOAWAY; it is sent earlier when the HTTP/2
 *     connection has had no stream for {@code drainIdle}. GOAWAY is delayed because some clients,
 *     including the one of JDK 17, fail streams when they receive it, even streams whose response
 *     has arrived but has not been read yet
 * @param drainIdle during a drain, how long a connection stays open without a request
 */
public record TimeLimits(
    Duration defaultDeadline,
    Duration maximumDeadline,
    Duration answerGrace,
    Duration headersTimeout,
    Duration bodyTimeout,
    Duration keepAliveTimeout,
    Duration pingInterval,
    Duration writeTimeout,
    Duration drainNotice,
    Duration goAwayDelay,
    Duration drainIdle) {
  private static final Duration MINIMUM_CHECK_INTERVAL = Duration.ofMillis(10);
  private static final Duration MAXIMUM_CHECK_INTERVAL = Duration.ofSeconds(1);
  private static final int CHECKS_PER_TIMEOUT = 4;

  /** Returns the limits that apply if the settings contain none. */
  public static TimeLimits defaults() {
    return new TimeLimits(
        Duration.ofSeconds(5),
        Duration.ofSeconds(30),
        Duration.ofMillis(500),
        Duration.ofSeconds(5),
        Duration.ofSeconds(20),
        Duration.ofSeconds(60),
        Duration.ofSeconds(10),
        Duration.ofSeconds(20),
        Duration.ofSeconds(2),
        Duration.ofSeconds(5),
        Duration.ofSeconds(1));
  }

  /**
   * Returns the interval at which connections are checked for timeouts. It is a fraction of the
   * shortest timeout, so that no timeout is exceeded by much.
   */
  Duration checkInterval() {
    Duration shortest =
        Collections.min(
            List.of(
                headersTimeout,
                bodyTimeout,
                keepAliveTimeout,
                pingInterval,
                writeTimeout,
                drainIdle));
    Duration interval = shortest.dividedBy(CHECKS_PER_TIMEOUT);
    if (interval.compareTo(MINIMUM_CHECK_INTERVAL) < 0) {
      return MINIMUM_CHECK_INTERVAL;
    }
    return interval.compareTo(MAXIMUM_CHECK_INTERVAL) > 0 ? MAXIMUM_CHECK_INTERVAL : interval;
  }
}
