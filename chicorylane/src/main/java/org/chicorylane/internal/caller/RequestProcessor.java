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
 * Answers whole requests, whichever protocol they came by.
 *
 * <pre>{@code
 * processor.process(request, eventLoop).thenAccept(answer -> write(answer));
 * }</pre>
 *
 * <p>Thread-safe. An answer always comes: if the service has not completed shortly after the
 * request's deadline, the answer is {@code Unknown}, and the service's outcome is dropped and
 * counted when it comes.
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
  private final BooleanSupplier ready;
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
      BooleanSupplier ready) {
    this.service = service;
    this.declarations = declarations;
    this.tokens = tokens;
    this.ids = ids;
    this.limits = limits;
    this.clock = clock;
    this.metrics = metrics;
    this.ready = ready;
    this.reader = new GroupCallReader(limits, tokens);
  }

  /**
   * Answers a request.
   *
   * @param loop runs the guard of the request's deadline
   * @return completes with the answer, never exceptionally, on any thread
   */
  CompletableFuture<CallerAnswer> process(
      ReceivedRequest.Whole request, ScheduledExecutorService loop) {
    Optional<String> callersId = RequestHeaders.callersRequestId(request.headers());
    String unique = ids.next();
    String requestId = callersId.map(id -> id + "." + unique).orElse(unique);
    return answerSafely(request, requestId, loop)
        .thenApply(
            answer -> {
              metrics.answered(answer.status());
              answer.headers().set(HeaderNames.REQUEST_ID, callersId.orElse(unique));
              echoTrace(request.headers(), answer.headers());
              return answer;
            });
  }

  private CompletableFuture<CallerAnswer> answerSafely(
      ReceivedRequest.Whole request, String requestId, ScheduledExecutorService loop) {
    CompletableFuture<CallerAnswer> answer;
    try {
      answer = answer(request, requestId, loop);
    } catch (RuntimeException e) {
      answer = CompletableFuture.failedFuture(e);
    }
    return answer.exceptionally(
        failure -> AnswerWriter.problem(Problem.of(failed(requestId, failure)), requestId));
  }

  private CompletableFuture<CallerAnswer> answer(
      ReceivedRequest.Whole request, String requestId, ScheduledExecutorService loop) {
    Route route = Router.route(request.method(), request.uri());
    if (route instanceof Route.Group group) {
      GroupCall call = reader.read(group, request, requestId, declarations.get(), clock.instant());
      return call instanceof GroupCall.Ready prepared
          ? submit(prepared, loop)
          : done(AnswerWriter.problem(((GroupCall.Refused) call).problem(), requestId));
    }
    return done(answerWithoutService(route, request, requestId));
  }

  private CallerAnswer answerWithoutService(
      Route route, ReceivedRequest.Whole request, String requestId) {
    if (route instanceof Route.NewSession) {
      SessionToken token = SessionToken.fresh(ids.next());
      CallerAnswer answer = AnswerWriter.newSession(token.sessionId());
      answer.headers().set(HeaderNames.SESSION, tokens.write(token));
      return answer;
    }
    if (route instanceof Route.Live) {
      return AnswerWriter.health(true, "live");
    }
    if (route instanceof Route.Ready) {
      boolean isReady = ready.getAsBoolean();
      return AnswerWriter.health(isReady, isReady ? "ready" : "not ready");
    }
    if (route instanceof Route.WrongMethod wrong) {
      Problem problem =
          Problem.of(
              ProblemType.METHOD_NOT_ALLOWED,
              "the method is " + request.method() + ", not " + wrong.allowed());
      CallerAnswer answer = AnswerWriter.problem(problem, requestId);
      answer.headers().set(HttpHeaderNames.ALLOW, wrong.allowed());
      return answer;
    }
    return AnswerWriter.problem(
        Problem.of(ProblemType.NOT_FOUND, "nothing is at the path of the request"), requestId);
  }

  private CompletableFuture<CallerAnswer> submit(
      GroupCall.Ready call, ScheduledExecutorService loop) {
    GroupRequest request = call.request();
    if (inFlight.incrementAndGet() > limits.load().requestsInFlight()) {
      inFlight.decrementAndGet();
      Problem problem =
          Problem.overloaded(
              OVERLOAD_RETRY_AFTER,
              "the instance already has "
                  + limits.load().requestsInFlight()
                  + " requests in flight");
      return done(AnswerWriter.problem(problem, request.requestId()));
    }
    Instant start = clock.instant();
    metrics.requestSubmitted();
    CompletableFuture<Outcome> first = new CompletableFuture<>();
    Duration patience =
        Duration.between(start, request.deadline()).plus(limits.times().answerGrace());
    ScheduledFuture<?> guard =
        loop.schedule(
            () -> first.complete(unknown("no outcome came by the request's deadline")),
            patience.toMillis(),
            TimeUnit.MILLISECONDS);
    submitSafely(request)
        .whenComplete(
            (outcome, failure) -> {
              inFlight.decrementAndGet();
              metrics.requestCompleted(Duration.between(start, clock.instant()));
              guard.cancel(false);
              if (!first.complete(
                  outcome == null ? failed(request.requestId(), failure) : outcome)) {
                metrics.outcomeWasLate();
              }
            });
    return first.thenApplyAsync(outcome -> toAnswer(call, outcome), loop);
  }

  private CompletableFuture<Outcome> submitSafely(GroupRequest request) {
    try {
      return service.submit(request);
    } catch (RuntimeException e) {
      return CompletableFuture.failedFuture(e);
    }
  }

  private static Outcome.Unknown failed(String requestId, Throwable failure) {
    LogFields.forRequest(
        requestId, () -> Logger.error(failure, "the request ended without an outcome"));
    return unknown("the instance failed while it served the request");
  }

  private static Outcome.Unknown unknown(String detail) {
    return new Outcome.Unknown(UNKNOWN_RETRY_AFTER, detail);
  }

  private CallerAnswer toAnswer(GroupCall.Ready call, Outcome outcome) {
    CallerAnswer answer = writeOutcome(call.request(), outcome);
    tokenAfter(call, outcome)
        .ifPresent(token -> answer.headers().set(HeaderNames.SESSION, tokens.write(token)));
    call.preferredSeconds()
        .ifPresent(
            seconds -> answer.headers().set(HeaderNames.PREFERENCE_APPLIED, "wait=" + seconds));
    return answer;
  }

  private static CallerAnswer writeOutcome(GroupRequest request, Outcome outcome) {
    String requestId = request.requestId();
    if (outcome instanceof Outcome.Completed completed) {
      return AnswerWriter.completed(completed);
    }
    if (outcome instanceof Outcome.Rejected rejected) {
      return AnswerWriter.problem(Problem.of(rejected), requestId);
    }
    if (outcome instanceof Outcome.NotRun notRun) {
      return AnswerWriter.problem(Problem.of(notRun), requestId);
    }
    return AnswerWriter.problem(Problem.of((Outcome.Unknown) outcome), requestId);
  }

  private Optional<SessionToken> tokenAfter(GroupCall.Ready call, Outcome outcome) {
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

  private static void echoTrace(HttpHeaders request, HttpHeaders answer) {
    RequestHeaders.traceparent(request)
        .ifPresent(trace -> answer.set(HeaderNames.TRACEPARENT, trace));
  }

  private static CompletableFuture<CallerAnswer> done(CallerAnswer answer) {
    return CompletableFuture.completedFuture(answer);
  }
}
