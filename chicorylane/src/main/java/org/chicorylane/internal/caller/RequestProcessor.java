package org.chicorylane.internal.caller;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.chicorylane.internal.declaration.Declarations;
import org.chicorylane.internal.logging.LogFields;
import org.chicorylane.internal.outcome.NotRunReason;
import org.chicorylane.internal.outcome.Outcome;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.relay.GroupRequest;
import org.chicorylane.internal.relay.GroupService;
import org.chicorylane.internal.session.SessionIds;
import org.chicorylane.internal.session.SessionToken;
import org.chicorylane.internal.session.SessionTokenCodec;
import org.tinylog.Logger;

/**
 * Computes the response to a complete request, independent of the HTTP version.
 *
 * <pre>{@code
 * processor.process(request, eventLoop).thenAccept(response -> write(response));
 * }</pre>
 *
 * <p>Thread-safe. Every request receives a response. If the service has not completed a request by
 * its deadline plus {@link TimeLimits#answerGrace()}, the response is {@code Unknown}, and the
 * outcome from the service is dropped and counted when it arrives.
 */
final class RequestProcessor {
  private static final Duration OVERLOAD_RETRY_AFTER = Duration.ofSeconds(1);
  private static final Duration UNKNOWN_RETRY_AFTER = Duration.ofSeconds(1);

  private final GroupService service;
  private final Supplier<Declarations> declarations;
  private final SessionTokenCodec tokens;
  private final SessionIds ids;
  private final CallerLimits limits;
  private final InstantSource clock;
  private final CallerMetrics metrics;
  private final BooleanSupplier readiness;
  private final GroupCallReader reader;
  private final AtomicInteger inFlight = new AtomicInteger();

  RequestProcessor(
      GroupService service,
      Supplier<Declarations> declarations,
      SessionTokenCodec tokens,
      SessionIds ids,
      CallerLimits limits,
      InstantSource clock,
      CallerMetrics metrics,
      BooleanSupplier readiness) {
    this.service = service;
    this.declarations = declarations;
    this.tokens = tokens;
    this.ids = ids;
    this.limits = limits;
    this.clock = clock;
    this.metrics = metrics;
    this.readiness = readiness;
    this.reader = new GroupCallReader(limits, tokens);
  }

  /**
   * Processes a request.
   *
   * @param eventLoop the executor that enforces the deadline of the request
   * @return a future that completes with the response on any thread, and never exceptionally
   */
  CompletableFuture<CallerResponse> process(
      ReceivedRequest.Complete request, ScheduledExecutorService eventLoop) {
    Optional<String> callerRequestId = RequestHeaders.callerRequestId(request.headers());
    String generatedId = ids.next();
    String requestId = callerRequestId.map(id -> id + "." + generatedId).orElse(generatedId);
    return respondSafely(request, requestId, eventLoop)
        .thenApply(
            response -> {
              metrics.recordResponse(response.status());
              response.headers().set(HeaderNames.REQUEST_ID, callerRequestId.orElse(generatedId));
              echoTrace(request.headers(), response.headers());
              return response;
            });
  }

  private CompletableFuture<CallerResponse> respondSafely(
      ReceivedRequest.Complete request, String requestId, ScheduledExecutorService eventLoop) {
    CompletableFuture<CallerResponse> response;
    try {
      response = respond(request, requestId, eventLoop);
    } catch (RuntimeException e) {
      response = CompletableFuture.failedFuture(e);
    }
    return response.exceptionally(
        failure ->
            ResponseWriter.problem(Problem.of(unknownAfterFailure(requestId, failure)), requestId));
  }

  private CompletableFuture<CallerResponse> respond(
      ReceivedRequest.Complete request, String requestId, ScheduledExecutorService eventLoop) {
    Route route = Router.route(request.method(), request.uri());
    if (route instanceof Route.Group group) {
      GroupCall call = reader.read(group, request, requestId, declarations.get(), clock.instant());
      return call instanceof GroupCall.Accepted accepted
          ? submit(accepted, eventLoop)
          : completedFuture(
              ResponseWriter.problem(((GroupCall.Rejected) call).problem(), requestId));
    }
    return completedFuture(respondWithoutService(route, request, requestId));
  }

  private CallerResponse respondWithoutService(
      Route route, ReceivedRequest.Complete request, String requestId) {
    if (route instanceof Route.CreateSession) {
      SessionToken token = SessionToken.fresh(ids.next());
      CallerResponse response = ResponseWriter.newSession(token.sessionId());
      response.headers().set(HeaderNames.SESSION, tokens.write(token));
      return response;
    }
    if (route instanceof Route.LivenessCheck) {
      return ResponseWriter.health(true, "live");
    }
    if (route instanceof Route.ReadinessCheck) {
      boolean isReady = readiness.getAsBoolean();
      return ResponseWriter.health(isReady, isReady ? "ready" : "not ready");
    }
    if (route instanceof Route.MethodNotAllowed mismatch) {
      Problem problem =
          Problem.of(
              ProblemType.METHOD_NOT_ALLOWED,
              "the method is " + request.method() + ", not " + mismatch.allowed());
      CallerResponse response = ResponseWriter.problem(problem, requestId);
      response.headers().set(HttpHeaderNames.ALLOW, mismatch.allowed());
      return response;
    }
    return ResponseWriter.problem(
        Problem.of(ProblemType.NOT_FOUND, "nothing is at the path of the request"), requestId);
  }

  private CompletableFuture<CallerResponse> submit(
      GroupCall.Accepted call, ScheduledExecutorService eventLoop) {
    GroupRequest request = call.request();
    if (inFlight.incrementAndGet() > limits.load().requestsInFlight()) {
      inFlight.decrementAndGet();
      Problem problem =
          Problem.overloaded(
              OVERLOAD_RETRY_AFTER,
              "the instance already has "
                  + limits.load().requestsInFlight()
                  + " requests in flight");
      return completedFuture(ResponseWriter.problem(problem, request.requestId()));
    }
    Instant start = clock.instant();
    metrics.recordRequestSubmitted();
    CompletableFuture<Outcome> result = new CompletableFuture<>();
    Duration timeout =
        Duration.between(start, request.deadline()).plus(limits.times().answerGrace());
    ScheduledFuture<?> deadlineTimer =
        eventLoop.schedule(
            () -> result.complete(unknown("no outcome came by the request's deadline")),
            timeout.toMillis(),
            TimeUnit.MILLISECONDS);
    submitSafely(request)
        .whenComplete(
            (outcome, failure) -> {
              inFlight.decrementAndGet();
              metrics.recordRequestCompleted(Duration.between(start, clock.instant()));
              deadlineTimer.cancel(false);
              if (!result.complete(
                  outcome == null ? unknownAfterFailure(request.requestId(), failure) : outcome)) {
                metrics.recordLateOutcome();
              }
            });
    return result.thenApplyAsync(outcome -> toResponse(call, outcome), eventLoop);
  }

  private CompletableFuture<Outcome> submitSafely(GroupRequest request) {
    try {
      return service.submit(request);
    } catch (RuntimeException e) {
      return CompletableFuture.failedFuture(e);
    }
  }

  private static Outcome.Unknown unknownAfterFailure(String requestId, Throwable failure) {
    LogFields.forRequest(
        requestId, () -> Logger.error(failure, "the request failed, and its outcome is unknown"));
    return unknown("the instance failed while it served the request");
  }

  private static Outcome.Unknown unknown(String detail) {
    return new Outcome.Unknown(UNKNOWN_RETRY_AFTER, detail);
  }

  private CallerResponse toResponse(GroupCall.Accepted call, Outcome outcome) {
    CallerResponse response = writeOutcome(call.request(), outcome);
    nextToken(call, outcome)
        .ifPresent(token -> response.headers().set(HeaderNames.SESSION, tokens.write(token)));
    call.preferredSeconds()
        .ifPresent(
            seconds -> response.headers().set(HeaderNames.PREFERENCE_APPLIED, "wait=" + seconds));
    return response;
  }

  private static CallerResponse writeOutcome(GroupRequest request, Outcome outcome) {
    String requestId = request.requestId();
    if (outcome instanceof Outcome.Completed completed) {
      return ResponseWriter.completed(completed);
    }
    if (outcome instanceof Outcome.Rejected rejected) {
      return ResponseWriter.problem(Problem.of(rejected), requestId);
    }
    if (outcome instanceof Outcome.NotRun notRun) {
      return ResponseWriter.problem(Problem.of(notRun), requestId);
    }
    return ResponseWriter.problem(Problem.of((Outcome.Unknown) outcome), requestId);
  }

  private Optional<SessionToken> nextToken(GroupCall.Accepted call, Outcome outcome) {
    String group = call.request().group();
    if (outcome instanceof Outcome.Completed completed) {
      LogPosition position = completed.position();
      if (position == null) {
        return call.token();
      }
      SessionToken before = call.token().orElseGet(() -> SessionToken.fresh(ids.next()));
      return Optional.of(before.advance(group, position));
    }
    if (outcome instanceof Outcome.NotRun notRun
        && notRun.reason() == NotRunReason.SESSION_HISTORY_LOST) {
      return call.token().map(token -> token.without(group));
    }
    return Optional.empty();
  }

  private static void echoTrace(HttpHeaders request, HttpHeaders response) {
    RequestHeaders.traceparent(request)
        .ifPresent(trace -> response.set(HeaderNames.TRACEPARENT, trace));
  }

  private static CompletableFuture<CallerResponse> completedFuture(CallerResponse response) {
    return CompletableFuture.completedFuture(response);
  }
}
