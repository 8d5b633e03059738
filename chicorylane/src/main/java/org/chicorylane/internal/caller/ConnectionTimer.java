package org.chicorylane.internal.caller;

import java.time.Duration;
import java.time.Instant;

/**
 * Says when a caller has been silent or slow for too long, on one HTTP/1.1 connection or one HTTP/2
 * stream.
 *
 * <pre>{@code
 * ConnectionTimer timer = ConnectionTimer.idle(limits, now);
 * timer.bytesReceived(now);
 * if (timer.isExpired(now)) {
 *   close(timer.phase());
 * }
 * }</pre>
 *
 * <p>A pure core: the time comes with each call. Not thread-safe.
 */
final class ConnectionTimer {

  /** What the connection waits for. */
  enum Phase {
    /** The first byte of a request. */
    IDLE,
    /** The end of the header fields. */
    HEADERS,
    /** The end of the body. */
    BODY,
    /** The answer from the service; its own deadline bounds that. */
    SERVING,
    /** The caller to read the answer. */
    WRITING;

    /** Returns whether a request has arrived in part. */
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

  /** Returns the timer of a new connection. */
  static ConnectionTimer idle(TimeLimits limits, Instant now) {
    return new ConnectionTimer(limits, Phase.IDLE, now);
  }

  /** Returns the timer of a new stream, whose header fields are there. */
  static ConnectionTimer receivingBody(TimeLimits limits, Instant now) {
    return new ConnectionTimer(limits, Phase.BODY, now);
  }

  Phase phase() {
    return phase;
  }

  /** Notes that bytes came. */
  void onBytesReceived(Instant now) {
    if (phase == Phase.IDLE) {
      enterPhase(Phase.HEADERS, now);
    }
  }

  /** Notes that a request's header fields came whole. */
  void onHeadersReceived(Instant now) {
    if (phase == Phase.IDLE || phase == Phase.HEADERS) {
      enterPhase(Phase.BODY, now);
    }
  }

  /** Notes that a whole request is being served. */
  void onServiceStarted(Instant now) {
    enterPhase(Phase.SERVING, now);
  }

  /** Notes that an answer was handed to the connection. */
  void onWriteStarted(Instant now) {
    enterPhase(Phase.WRITING, now);
  }

  /** Notes that the answer was written and no further request is known. */
  void onResponseWritten(boolean nextIsPartlyReceived, Instant now) {
    enterPhase(nextIsPartlyReceived ? Phase.BODY : Phase.IDLE, now);
  }

  /** From now on, an idle connection is closed sooner. */
  void startDrain(Instant now) {
    draining = true;
    if (phase == Phase.IDLE) {
      phaseStart = now;
    }
  }

  /** Returns whether the caller has had its time. */
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
