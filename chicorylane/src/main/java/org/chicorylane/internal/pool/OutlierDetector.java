package org.chicorylane.internal.pool;

import java.time.Duration;
import java.util.Collection;
import org.chicorylane.internal.passthrough.Answer;
import org.chicorylane.internal.passthrough.FailureCode;
import org.chicorylane.internal.runtime.DecisionLog;
import org.jspecify.annotations.Nullable;

/**
 * Ejects replicas that fail a share of the statements sent to them, whatever their status or health
 * check tells, and returns them when they succeed again.
 *
 * <p>An ejected replica is sent nothing for a while, and then single reads, one at a time, which
 * another server runs if they fail. Some successes in a row return it; a failure ejects it again
 * for twice as long. At most half of the replicas are ejected. The primary never is.
 *
 * <pre>{@code
 * detector.onOutcome(server, servers, OutlierDetector.isFailure(server, answer), now);
 * if (server.ejection.isActive() && !server.ejection.allowsProbe(item, server, now)) {...}
 * }</pre>
 *
 * <p>Confined to the instance's thread.
 */
final class OutlierDetector {

  /** Share of failures from which a replica may be ejected. */
  private static final double MIN_FAILURE_SHARE = 0.2;

  /** Number of recent failures from which a replica may be ejected. */
  private static final double MIN_FAILURES = 2.5;

  /**
   * Factor by which the share must exceed the lowest one of the group, because statements may fail
   * on any server.
   */
  private static final double MIN_FACTOR = 2;

  /** The ejection of one server. */
  static final class Ejection {

    private static final Duration FIRST = Duration.ofSeconds(1);

    /** Maximum number of times that the duration is doubled. */
    private static final int MAX_DOUBLINGS = 4;

    /** Time without a failure after which the next ejection is as short as the first. */
    private static final Duration FORGET_AFTER = Duration.ofSeconds(30);

    /** Successes in a row that return a replica. */
    private static final int PROBES = 3;

    private boolean active;
    private long probeAtNanos;
    private long lastNanos;
    private int count;
    private int successes;

    /** Returns whether the server is ejected. */
    boolean isActive() {
      return active;
    }

    /** Returns whether the work, which another server can repeat, may test an ejected server. */
    boolean allowsProbe(QueuedWork item, PoolServer server, long nowNanos) {
      return nowNanos >= probeAtNanos
          && server.inFlight == 0
          && item.transaction == null
          && item.attempts == 0;
    }

    private void start(long nowNanos) {
      if (nowNanos - lastNanos > FORGET_AFTER.toNanos()) {
        count = 0;
      }
      active = true;
      successes = 0;
      lastNanos = nowNanos;
      probeAtNanos = nowNanos + (FIRST.toNanos() << Math.min(count, MAX_DOUBLINGS));
      count++;
    }

    /** Records a success, and returns whether it ends the ejection. */
    private boolean succeed(long nowNanos) {
      if (nowNanos < probeAtNanos || ++successes < PROBES) {
        return false;
      }
      end();
      return true;
    }

    /** Ends the ejection. */
    void end() {
      active = false;
    }
  }

  private final String group;
  private final DecisionLog log;
  private final PoolMetrics metrics;

  OutlierDetector(String group, DecisionLog log, PoolMetrics metrics) {
    this.group = group;
    this.log = log;
    this.metrics = metrics;
  }

  /**
   * Returns whether an answer counts against the server; null if it tells nothing about the server,
   * such as a refusal of a statement that the server must not run.
   */
  static @Nullable Boolean isFailure(PoolServer server, Answer answer) {
    FailureCode failure = answer.failure();
    if (failure == null) {
      return false;
    }
    return switch (failure) {
      case FAILED, TIMEOUT, IN_DOUBT -> true;
      case OVERLOADED -> server.ownLoad() < server.slots() ? true : null;
      default -> null;
    };
  }

  /**
   * Records the outcome of a statement that a server was sent.
   *
   * @param servers the servers of the group
   * @param failed whether it failed or its answer was lost; null if the outcome tells nothing
   */
  void onOutcome(
      PoolServer server, Collection<PoolServer> servers, @Nullable Boolean failed, long nowNanos) {
    if (failed == null) {
      return;
    }
    server.history.onOutcome(failed, nowNanos);
    if (server.primary) {
      return;
    }
    Ejection ejection = server.ejection;
    if (ejection.isActive()) {
      if (nowNanos >= ejection.probeAtNanos) {
        metrics.recordProbe(failed);
      }
      if (failed) {
        if (nowNanos >= ejection.probeAtNanos) {
          ejection.start(nowNanos);
        }
      } else if (ejection.succeed(nowNanos)) {
        server.history.clearOutcomes();
        metrics.recordReturn();
        write("server-returned", server, nowNanos);
      }
    } else if (failed && isOutlier(server, servers, nowNanos) && mayEject(servers)) {
      ejection.start(nowNanos);
      metrics.recordEjection();
      write("server-ejected", server, nowNanos);
    }
  }

  private static boolean isOutlier(PoolServer server, Collection<PoolServer> servers, long now) {
    AnswerHistory history = server.history;
    if (!history.isKnown(now)
        || history.failures() < MIN_FAILURES
        || history.failureShare() < MIN_FAILURE_SHARE) {
      return false;
    }
    return servers.stream()
        .filter(s -> s != server && s.acceptsNewWork() && s.history.isKnown(now))
        .anyMatch(s -> history.failureShare() >= MIN_FACTOR * s.history.failureShare());
  }

  /** Returns whether at most half of the replicas in use would be ejected with one more. */
  private static boolean mayEject(Collection<PoolServer> servers) {
    long replicas = servers.stream().filter(s -> !s.primary && s.acceptsNewWork()).count();
    long ejected =
        servers.stream()
            .filter(s -> !s.primary && s.acceptsNewWork() && s.ejection.isActive())
            .count();
    return 2 * (ejected + 1) <= replicas;
  }

  private void write(String event, PoolServer server, long nowNanos) {
    log.event(DecisionLog.Priority.BELIEF, event)
        .with("group", group)
        .with("server", server.backend.id())
        .with("failed_percent", Math.round(100 * server.history.failureShare()))
        .with("probe_in_ms", Math.max(0, server.ejection.probeAtNanos - nowNanos) / 1_000_000)
        .write();
  }
}
