package org.chicorylane.internal.platform;

import com.codahale.metrics.MetricRegistry;
import com.google.gson.JsonObject;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Flow;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Sends HTTP/1.1 calls to one of several equal endpoints of the platform. A call that fails turns
 * to the next endpoint for the calls after it; no call is sent twice. A call past its timeout is
 * cancelled, which also drops its connection, so a connection that fell silent is not used again.
 *
 * <p>Thread-safe.
 */
final class PlatformHttpClient {

  /** What became of an HTTP call. */
  sealed interface HttpResult {}

  /** An answer with its status and body. */
  record Answer(int status, String body) implements HttpResult {
    boolean ok() {
      return status == HTTP_OK;
    }

    /** Whether the platform refused the request for what it asks. */
    boolean refused() {
      return status >= HTTP_BAD_REQUEST && status < HTTP_SERVER_ERROR;
    }
  }

  /** No answer; {@code sent} tells whether the request may have arrived. */
  record NoAnswer(String reason, boolean sent) implements HttpResult {}

  private static final int HTTP_OK = 200;
  private static final int HTTP_BAD_REQUEST = 400;
  private static final int HTTP_SERVER_ERROR = 500;

  private final List<URI> endpoints;
  private final Duration timeout;
  private final MetricRegistry metrics;
  private final HttpClient http;
  private final AtomicInteger turn = new AtomicInteger();

  /**
   * Creates a client.
   *
   * @throws IllegalArgumentException if there is no endpoint
   */
  PlatformHttpClient(List<URI> endpoints, Duration timeout, MetricRegistry metrics) {
    if (endpoints.isEmpty()) {
      throw new IllegalArgumentException("no endpoint of the platform is given");
    }
    this.endpoints = List.copyOf(endpoints);
    this.timeout = timeout;
    this.metrics = metrics;
    this.http =
        HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(timeout)
            .build();
  }

  CompletableFuture<HttpResult> post(PlatformCallKind kind, JsonObject body) {
    return send(kind, request(kind).POST(BodyPublishers.ofString(body.toString())));
  }

  CompletableFuture<HttpResult> get(PlatformCallKind kind) {
    return send(kind, request(kind).GET());
  }

  /** Opens a streamed answer; the returned future completes when the stream ends, in any way. */
  CompletableFuture<?> stream(
      PlatformCallKind kind, JsonObject body, Flow.Subscriber<String> lines) {
    HttpRequest request = request(kind).POST(BodyPublishers.ofString(body.toString())).build();
    metrics.counter(kind.metricName()).inc();
    return http.sendAsync(request, BodyHandlers.fromLineSubscriber(lines));
  }

  /** Turns to the next endpoint. */
  void rotate() {
    turn.incrementAndGet();
  }

  private HttpRequest.Builder request(PlatformCallKind kind) {
    URI endpoint = endpoints.get(Math.floorMod(turn.get(), endpoints.size()));
    return HttpRequest.newBuilder(endpoint.resolve(kind.path()))
        .header("Content-Type", "application/json");
  }

  private CompletableFuture<HttpResult> send(
      PlatformCallKind kind, HttpRequest.Builder requestBuilder) {
    metrics.counter(kind.metricName()).inc();
    CompletableFuture<HttpResponse<String>> call =
        http.sendAsync(requestBuilder.build(), BodyHandlers.ofString());
    return call.copy()
        .orTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS)
        .<HttpResult>thenApply(r -> new Answer(r.statusCode(), r.body()))
        .exceptionally(failure -> noAnswer(call, failure))
        .thenApply(this::rotateOnFailure);
  }

  private HttpResult rotateOnFailure(HttpResult result) {
    boolean failed = !(result instanceof Answer answer) || answer.status() >= HTTP_SERVER_ERROR;
    if (failed) {
      rotate();
    }
    return result;
  }

  private HttpResult noAnswer(CompletableFuture<?> call, Throwable failure) {
    call.cancel(true);
    Throwable cause = failure;
    while (cause instanceof CompletionException && cause.getCause() != null) {
      cause = cause.getCause();
    }
    if (cause instanceof TimeoutException) {
      return new NoAnswer("no answer within " + timeout.toMillis() + " ms", true);
    }
    boolean sent =
        !(cause instanceof ConnectException || cause instanceof HttpConnectTimeoutException);
    return new NoAnswer(cause.toString(), sent);
  }
}
