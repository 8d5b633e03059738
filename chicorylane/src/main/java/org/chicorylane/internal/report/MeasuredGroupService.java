package org.chicorylane.internal.report;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.chicorylane.internal.declaration.Declarations;
import org.chicorylane.internal.outcome.NotRunReason;
import org.chicorylane.internal.outcome.Outcome;
import org.chicorylane.internal.relay.GroupRequest;
import org.chicorylane.internal.relay.GroupService;
import org.chicorylane.internal.relay.RequestKind;

/**
 * A decorator that measures the requests passing through another service.
 *
 * <pre>{@code
 * GroupService measured =
 *     new MeasuredGroupService(entryRouter, levels, registry, declarations, clock);
 * }</pre>
 *
 * <p>Metrics: timers {@code requests.CLASS}, meters {@code outcomes.CLASS.OUTCOME} and {@code
 * not_run.REASON}. Requests of undeclared classes are counted as class {@code undeclared}, so that
 * callers cannot grow the registry without limit. Thread-safe if the wrapped service is.
 */
public final class MeasuredGroupService implements GroupService {
  private static final String UNDECLARED = "undeclared";

  private final GroupService service;
  private final ServiceLevels levels;
  private final MetricRegistry metrics;
  private final Supplier<Declarations> declarations;
  private final InstantSource clock;

  /**
   * Wraps a service.
   *
   * @param service the service of the entry; wrapping the home's service would count relayed
   *     requests a second time
   * @param declarations the declarations in force
   */
  public MeasuredGroupService(
      GroupService service,
      ServiceLevels levels,
      MetricRegistry metrics,
      Supplier<Declarations> declarations,
      InstantSource clock) {
    this.service = service;
    this.levels = levels;
    this.metrics = metrics;
    this.declarations = declarations;
    this.clock = clock;
  }

  @Override
  public CompletableFuture<Outcome> submit(GroupRequest request) {
    Instant submitted = clock.instant();
    return service
        .submit(request)
        .thenApply(
            outcome -> {
              measure(request, outcome, submitted);
              return outcome;
            });
  }

  private void measure(GroupRequest request, Outcome outcome, Instant submitted) {
    Instant now = clock.instant();
    Duration elapsed = Duration.between(submitted, now);
    Declarations current = declarations.get();
    String requestClass = request.requestClass();
    levels.recordRequest(current, requestClass, outcome, elapsed, now);
    String metricClass =
        current.requestClasses().containsKey(requestClass) ? requestClass : UNDECLARED;
    metrics.timer(MetricRegistry.name("requests", metricClass)).update(elapsed);
    metrics.meter(MetricRegistry.name("outcomes", metricClass, metricNameOf(outcome))).mark();
    if (outcome instanceof Outcome.NotRun notRun) {
      measureNotRun(request, notRun.reason(), current, now);
    } else if (outcome instanceof Outcome.Completed completed) {
      measureCompleted(request, completed, current, submitted, now);
    }
  }

  private void measureNotRun(
      GroupRequest request, NotRunReason reason, Declarations current, Instant now) {
    metrics.meter(MetricRegistry.name("not_run", reason.name().toLowerCase(Locale.ROOT))).mark();
    if (request.kind().needsPrimary() && reason == NotRunReason.NO_PRIMARY) {
      levels.openFailoverGap(current, request.group(), now);
    }
  }

  private void measureCompleted(
      GroupRequest request,
      Outcome.Completed completed,
      Declarations current,
      Instant submitted,
      Instant now) {
    if (request.kind() == RequestKind.READ) {
      levels.recordRead(current, request.group(), completed.fromReplica(), now);
    } else if (completed.position() != null && !completed.replayed()) {
      levels.closeFailoverGap(request.group(), submitted, now);
    }
  }

  private static String metricNameOf(Outcome outcome) {
    if (outcome instanceof Outcome.Completed) {
      return "completed";
    }
    if (outcome instanceof Outcome.Rejected) {
      return "rejected";
    }
    return outcome instanceof Outcome.NotRun ? "not_run" : "unknown";
  }
}
