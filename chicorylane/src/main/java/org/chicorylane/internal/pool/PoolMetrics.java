package org.chicorylane.internal.pool;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.UniformReservoir;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import org.chicorylane.internal.passthrough.FailureCode;
import org.chicorylane.internal.passthrough.UnexpectedAnswer;
import org.jspecify.annotations.Nullable;

/**
 * Metrics of answered statements, their latencies and lost servers, over all groups of an instance.
 *
 * <p>Confined to the instance's thread; the registry may be read from any thread.
 */
public final class PoolMetrics {

  /** Latencies kept for each kind of work; enough for a 99th percentile. */
  private static final int RESERVOIR_SIZE = 512;

  private final MetricRegistry registry;
  private final Map<String, Counter> counters = new HashMap<>();
  private final Map<WorkKind, Histogram> latencies = new EnumMap<>(WorkKind.class);

  /** Creates metrics that are registered in {@code registry}. */
  public PoolMetrics(MetricRegistry registry) {
    this.registry = registry;
  }

  /**
   * Records an answer.
   *
   * @param failure the failure, null if the statement succeeded
   * @param millis the time since the statement arrived at the home, in milliseconds
   */
  void recordAnswer(
      WorkKind kind, @Nullable FailureCode failure, boolean fromReplica, long millis) {
    String outcome = failure == null ? "done" : failure.name().toLowerCase(Locale.ROOT);
    count("statements." + kind.name().toLowerCase(Locale.ROOT) + "." + outcome);
    if (kind == WorkKind.READ && failure == null) {
      count(fromReplica ? "reads.replica" : "reads.primary");
    }
    latencies
        .computeIfAbsent(
            kind,
            k ->
                registry.histogram(
                    "statements." + k.name().toLowerCase(Locale.ROOT) + ".latency_ms",
                    () -> new Histogram(new UniformReservoir(RESERVOIR_SIZE))))
        .update(millis);
  }

  /** Records that a statement was refused. */
  void recordRefusal(Refusal refusal) {
    count(refusal.metricName());
  }

  /** Records a statement that was dropped before it was sent, because its client had left. */
  void recordDropped() {
    count("statements.dropped");
  }

  /** Records the loss of a server. */
  void recordServerLoss() {
    count("servers.lost");
  }

  /** Records that a replica was ejected because it failed statements. */
  void recordEjection() {
    count("servers.ejected");
  }

  /** Records the outcome of a statement that tested an ejected replica. */
  void recordProbe(boolean failed) {
    count(failed ? "servers.probes.failed" : "servers.probes.done");
  }

  /** Records that an ejected replica is in use again. */
  void recordReturn() {
    count("servers.returned");
  }

  /** Records that a read was abandoned early, to be run by another server. */
  void recordAbandonedRead() {
    count("reads.abandoned");
  }

  /** Records a commit that succeeded too late to be acknowledged. */
  void recordUnacknowledgedCommit() {
    count("commits.confirmed_late");
  }

  /** Records that a connection of a client account was opened. */
  void recordConnectionOpened() {
    count("connections.opened");
  }

  /** Records that a connection of a client account could not be opened. */
  void recordConnectionFailed() {
    count("connections.failed");
  }

  /** Records that the pool closed a connection that was not broken. */
  void recordConnectionClosed(ConnectionClose reason) {
    count("connections." + reason.label());
  }

  /** Records something that a server sent and that answered no command. */
  void recordUnexpectedAnswer(UnexpectedAnswer.Kind kind) {
    count("answers." + kind.label());
  }

  /** Records that a statement has to wait for a connection of its account. */
  void recordConnectionWait() {
    count("connections.waits");
  }

  private void count(String name) {
    counters.computeIfAbsent(name, registry::counter).inc();
  }
}
