package org.chicorylane.internal.caller;

import java.time.Duration;
import java.util.Collections;
import java.util.List;

/**
 * How long an instance waits for its callers, and callers for it.
 *
 * @param defaultDeadline the deadline of a request that names none
 * @param maximumDeadline longer deadlines are shortened to this
 * @param answerGrace how long after the deadline the edge still waits for the service's outcome
 * @param headersTimeout from a request's first byte to the end of its header fields
 * @param bodyTimeout from the end of the header fields to the end of the body
 * @param keepAliveTimeout how long a connection may be open without a request
 * @param pingInterval how often an HTTP/2 connection is pinged; one unanswered ping closes it
 * @param writeTimeout how long a caller may take to read an answer
 * @param drainNotice from the readiness check turning to 503 until new connections are refused
 * @param goAwayDelay how long, during a drain, a GOAWAY waits for its HTTP/2 connection to be
 *     without a stream for {@code drainIdle}; some clients, the one of JDK 17 among them, fail
 *     streams at a GOAWAY, even those whose answer has arrived but is not read yet
 * @param drainIdle how long a connection without a request stays open during a drain
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

  /** Returns the limits of an instance whose settings say nothing of them. */
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

  /** Returns how often connections are checked, so that no timeout is overrun by much. */
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
