package org.chicorylane.internal.caller;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.time.Duration;

/**
 * Metrics of the HTTP server. Thread-safe.
 *
 * <p>{@code callers.connections} and {@code callers.in-flight} are current values. {@code
 * callers.late} counts outcomes that arrived after the caller had disconnected or had received a
 * response.
 */
final class CallerMetrics {
  private static final int STATUS_CLASSES = 6;
  private static final int STATUSES_PER_CLASS = 100;

  private final Counter connections;
  private final Counter inFlight;
  private final Meter refusedConnections;
  private final Meter late;
  private final Meter timedOut;
  private final Timer latency;
  private final Meter[] responses = new Meter[STATUS_CLASSES];

  CallerMetrics(MetricRegistry registry) {
    connections = registry.counter("callers.connections");
    inFlight = registry.counter("callers.in-flight");
    refusedConnections = registry.meter("callers.refused-connections");
    late = registry.meter("callers.late");
    timedOut = registry.meter("callers.timed-out");
    latency = registry.timer("callers.latency");
    for (int i = 0; i < STATUS_CLASSES; i++) {
      responses[i] = registry.meter("callers.answers." + i + "xx");
    }
  }

  void recordConnectionOpened() {
    connections.inc();
  }

  void recordConnectionClosed() {
    connections.dec();
  }

  void recordConnectionRefused() {
    refusedConnections.mark();
  }

  void recordRequestSubmitted() {
    inFlight.inc();
  }

  void recordRequestCompleted(Duration took) {
    inFlight.dec();
    latency.update(took);
  }

  long requestsInFlight() {
    return inFlight.getCount();
  }

  void recordLateOutcome() {
    late.mark();
  }

  void recordTimeout() {
    timedOut.mark();
  }

  void recordResponse(int status) {
    responses[Math.min(status / STATUSES_PER_CLASS, STATUS_CLASSES - 1)].mark();
  }
}
