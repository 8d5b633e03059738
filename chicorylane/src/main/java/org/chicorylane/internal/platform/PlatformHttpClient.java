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
 * Sends HTTP/1.1 calls to one of several equivalent endpoints of the platform. After a call fails,
 * later calls use the next endpoint; no call is sent twice. A call that exceeds its timeout is
 * cancelled, which also closes its connection, so an unresponsive connection is not reused.
 *
 * <p>Thread-safe.
 */
final class PlatformHttpClient {

  /** The result of an HTTP call. */
  sealed interface HttpResult {}

  /** The endpoint answered. */
  record Answer(int status, String body) implements HttpResult {
    boolean isOk() {
      return status == HTTP_OK;
    }

    /** Returns whether the platform refused the request with a client error (HTTP 4xx). */
    boolean isRefused() {
      return status >= HTTP_BAD_REQUEST && status < HTTP_SERVER_ERROR;
    }
  }

  /**
   * No answer arrived.
   *
   * @param reason the reason, for people to read
   * @param sent whether the request may have reached the endpoint
   */
  record NoAnswer(String reason, boolean sent) implements HttpResult {}

  private static final int HTTP_OK = 200;
  private static final int HTTP_BAD_REQUEST = 400;
  private static final int HTTP_SERVER_ERROR = 500;

  private final List<URI> endpoints;
  private final Duration timeout;
  private final MetricRegistry metrics;
  private final HttpClient http;
  private final AtomicInteger endpointIndex = new AtomicInteger();

  /**
   * Creates a client.
   *
   * @param timeout the longest wait for a connection, and for the answer to a call
   * @throws IllegalArgumentException if {@code endpoints} is empty
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

  /** Opens a streamed answer. The returned future completes when the stream ends or fails. */
  CompletableFuture<?> stream(
      PlatformCallKind kind, JsonObject body, Flow.Subscriber<String> lines) {
    HttpRequest request = request(kind).POST(BodyPublishers.ofString(body.toString())).build();
    metrics.counter(kind.metricName()).inc();
    return http.sendAsync(request, BodyHandlers.fromLineSubscriber(lines));
  }

  /** Selects the next endpoint for later calls. */
  void selectNextEndpoint() {
    endpointIndex.incrementAndGet();
  }

  private HttpRequest.Builder request(PlatformCallKind kind) {
    URI endpoint = endpoints.get(Math.floorMod(endpointIndex.get(), endpoints.size()));
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
        .exceptionally(failure -> cancelCall(call, failure))
        .thenApply(this::selectNextEndpointOnFailure);
  }

  private HttpResult selectNextEndpointOnFailure(HttpResult result) {
    boolean failed = !(result instanceof Answer answer) || answer.status() >= HTTP_SERVER_ERROR;
    if (failed) {
      selectNextEndpoint();
    }
    return result;
  }

  private HttpResult cancelCall(CompletableFuture<?> call, Throwable failure) {
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
