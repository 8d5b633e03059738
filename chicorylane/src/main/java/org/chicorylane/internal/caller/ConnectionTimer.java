package org.chicorylane.internal.caller;

import java.time.Duration;
import java.time.Instant;

/**
 * State machine for the timeouts of an HTTP/1.1 connection or an HTTP/2 stream. Detects that a
 * caller is idle or slow for too long.
 *
 * <pre>{@code
 * ConnectionTimer timer = ConnectionTimer.idle(limits, now);
 * timer.onBytesReceived(now);
 * if (timer.isExpired(now)) {
 *   close(timer.phase());
 * }
 * }</pre>
 *
 * <p>Reads no clock; the current time is passed to each call. Not thread-safe.
 */
final class ConnectionTimer {

  /** What the connection is currently waiting for. */
  enum Phase {
    /** The first byte of a request. */
    IDLE,
    /** The end of the header fields. */
    HEADERS,
    /** The end of the body. */
    BODY,
    /** The outcome from the service, which is limited by the deadline of the request. */
    SERVING,
    /** The caller to read the response. */
    WRITING;

    /** Returns whether a request has been received only partly. */
    boolean isReceiving() {
      return this == HEADERS || this == BODY;
    }
  }

  private final TimeLimits limits;
  private Phase phase;
  private Instant phaseStart;
  private boolean draining;

  private ConnectionTimer(TimeLimits limits, Phase phase, Instant now) {
    this.limits = limits;
    this.phase = phase;
    this.phaseStart = now;
  }

  /** Returns the timer for a new connection. */
  static ConnectionTimer idle(TimeLimits limits, Instant now) {
    return new ConnectionTimer(limits, Phase.IDLE, now);
  }

  /** Returns the timer for a new stream, whose header fields have been received. */
  static ConnectionTimer receivingBody(TimeLimits limits, Instant now) {
    return new ConnectionTimer(limits, Phase.BODY, now);
  }

  Phase phase() {
    return phase;
  }

  /** Records that bytes were received. */
  void onBytesReceived(Instant now) {
    if (phase == Phase.IDLE) {
      enterPhase(Phase.HEADERS, now);
    }
  }

  /** Records that all header fields of a request were received. */
  void onHeadersReceived(Instant now) {
    if (phase == Phase.IDLE || phase == Phase.HEADERS) {
      enterPhase(Phase.BODY, now);
    }
  }

  /** Records that a complete request is being served. */
  void onServiceStarted(Instant now) {
    enterPhase(Phase.SERVING, now);
  }

  /** Records that the writing of a response has started. */
  void onWriteStarted(Instant now) {
    enterPhase(Phase.WRITING, now);
  }

  /**
   * Records that a response was written.
   *
   * @param nextIsPartlyReceived whether a part of the next request has already been received
   * @param now the current time
   */
  void onResponseWritten(boolean nextIsPartlyReceived, Instant now) {
    enterPhase(nextIsPartlyReceived ? Phase.BODY : Phase.IDLE, now);
  }

  /**
   * Applies the shorter idle timeout of a drain from now on. For an idle connection, the timeout
   * starts again.
   */
  void startDrain(Instant now) {
    draining = true;
    if (phase == Phase.IDLE) {
      phaseStart = now;
    }
  }

  /** Returns whether the timeout of the current phase has elapsed. */
  boolean isExpired(Instant now) {
    if (phase == Phase.SERVING) {
      return false;
    }
    return Duration.between(phaseStart, now).compareTo(timeout()) >= 0;
  }

  private Duration timeout() {
    return switch (phase) {
      case IDLE -> draining ? limits.drainIdle() : limits.keepAliveTimeout();
      case HEADERS -> limits.headersTimeout();
      case BODY -> limits.bodyTimeout();
      case SERVING, WRITING -> limits.writeTimeout();
    };
  }

  private void enterPhase(Phase next, Instant now) {
    phase = next;
    phaseStart = now;
  }
}
