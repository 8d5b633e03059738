package org.chicorylane.internal.operator;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.chicorylane.internal.platform.KeyValueStore;
import org.tinylog.Logger;

/**
 * HTTP/1.1 server of the operator API. Each request must present the bearer token.
 *
 * <pre>{@code
 * OperatorServer server =
 *     OperatorServer.start(
 *         address, token, store, new GossipFleetStatus(agent, feed::current), clock);
 * }</pre>
 *
 * <p>Uses the JDK's HTTP server with a small pool of blocking threads: there are few operators, and
 * their requests wait for the store, so event loops would bring no benefit. It never runs on the
 * threads that serve callers.
 *
 * <p>Thread-safe. Each request occupies one thread until it is read and answered. A request that
 * takes longer than {@link #MAXIMUM_REQUEST_TIME} to send is aborted, unless the program has set
 * the JDK's system property to another limit.
 */
public final class OperatorServer implements AutoCloseable {
  /** The header field with the name of the operator. */
  public static final String CHANGED_BY_HEADER = "Chicorylane-Changed-By";

  static final int MAXIMUM_BODY_BYTES = 1 << 20;
  static final Duration MAXIMUM_REQUEST_TIME = Duration.ofSeconds(10);
  private static final int THREADS = 4;
  private static final String SCHEME = "Bearer ";

  private final HttpServer http;
  private final ExecutorService executor;
  private final OperatorService service;
  private final byte[] expectedAuthorization;

  private OperatorServer(HttpServer http, OperatorService service, String token) {
    this.http = http;
    this.service = service;
    this.expectedAuthorization = (SCHEME + token).getBytes(StandardCharsets.UTF_8);
    this.executor =
        Executors.newFixedThreadPool(
            THREADS,
            task -> {
              Thread thread = new Thread(task, "operator");
              thread.setDaemon(true);
              return thread;
            });
  }

  /**
   * Starts a server, which is bound to its address when this method returns.
   *
   * @param token the bearer token that operators must present
   * @param store the store of the resource documents
   * @throws IllegalArgumentException if the token is empty
   * @throws UncheckedIOException if the address cannot be bound
   */
  public static OperatorServer start(
      InetSocketAddress address,
      String token,
      KeyValueStore store,
      FleetStatus fleet,
      InstantSource clock) {
    return start(address, token, new ResourceStore(store, OperatorServer::delay, clock), fleet);
  }

  static OperatorServer start(
      InetSocketAddress address, String token, ResourceStore resources, FleetStatus fleet) {
    if (token.isEmpty()) {
      throw new IllegalArgumentException("operator token is empty");
    }
    limitRequestTime();
    try {
      HttpServer http = HttpServer.create(address, 0);
      OperatorServer server =
          new OperatorServer(http, new OperatorService(resources, fleet), token);
      http.setExecutor(server.executor);
      http.createContext("/", server::handle);
      http.start();
      Logger.info("operator API listens on {}", http.getAddress());
      return server;
    } catch (IOException e) {
      throw new UncheckedIOException(
          "operators cannot be served on " + address + ": " + e.getMessage(), e);
    }
  }

  /**
   * Serves a page at a path to requests that present the token.
   *
   * @param contentType the page's media type
   * @param page renders the page; called for each request
   */
  public void mount(String path, String contentType, Supplier<String> page) {
    http.createContext(path, exchange -> servePage(exchange, contentType, page));
  }

  /** Returns the address that the server is bound to. */
  public InetSocketAddress address() {
    return http.getAddress();
  }

  @Override
  public void close() {
    http.stop(0);
    executor.shutdownNow();
  }

  private void handle(HttpExchange exchange) {
    try (exchange) {
      send(exchange, process(exchange));
    } catch (IOException e) {
      Logger.debug("operator connection failed: {}", e.getMessage());
    }
  }

  private void servePage(HttpExchange exchange, String contentType, Supplier<String> page)
      throws IOException {
    try (exchange) {
      if (!isAuthorized(exchange)) {
        send(exchange, unauthorized(exchange));
        return;
      }
      byte[] bytes = page.get().getBytes(StandardCharsets.UTF_8);
      exchange.getResponseHeaders().set("Content-Type", contentType);
      exchange.sendResponseHeaders(OperatorResponse.OK, bytes.length);
      exchange.getResponseBody().write(bytes);
    }
  }

  private static OperatorResponse unauthorized(HttpExchange exchange) {
    Logger.warn("operator refused: wrong bearer token from {}", exchange.getRemoteAddress());
    return OperatorResponse.problem(
        OperatorResponse.UNAUTHORIZED,
        OperatorProblem.UNAUTHORIZED,
        "the bearer token is not right");
  }

  private OperatorResponse process(HttpExchange exchange) throws IOException {
    if (!isAuthorized(exchange)) {
      return unauthorized(exchange);
    }
    byte[] body = exchange.getRequestBody().readNBytes(MAXIMUM_BODY_BYTES + 1);
    if (body.length > MAXIMUM_BODY_BYTES) {
      return OperatorResponse.problem(
          OperatorResponse.TOO_LARGE,
          OperatorProblem.INVALID,
          "the body is larger than " + MAXIMUM_BODY_BYTES + " bytes");
    }
    try {
      String changedBy = exchange.getRequestHeaders().getFirst(CHANGED_BY_HEADER);
      return service.handle(
          OperatorRequest.of(
              exchange.getRequestMethod(),
              exchange.getRequestURI(),
              Optional.ofNullable(changedBy).orElse("unnamed"),
              body));
    } catch (IllegalArgumentException e) {
      return OperatorResponse.problem(
          OperatorResponse.BAD_REQUEST,
          OperatorProblem.INVALID,
          "the URI or the body is encoded wrongly");
    } catch (RuntimeException e) {
      Logger.error(e, "an operator's request failed");
      return OperatorResponse.problem(
          OperatorResponse.INTERNAL_ERROR,
          OperatorProblem.INTERNAL_ERROR,
          "the instance failed on the request; its log says why");
    }
  }

  private boolean isAuthorized(HttpExchange exchange) {
    String authorization = exchange.getRequestHeaders().getFirst("Authorization");
    return authorization != null
        && MessageDigest.isEqual(
            expectedAuthorization, authorization.getBytes(StandardCharsets.UTF_8));
  }

  private static void send(HttpExchange exchange, OperatorResponse response) throws IOException {
    byte[] bytes = response.body().toString().getBytes(StandardCharsets.UTF_8);
    boolean problem = response.status() >= OperatorResponse.BAD_REQUEST;
    exchange
        .getResponseHeaders()
        .set("Content-Type", problem ? "application/problem+json" : "application/json");
    exchange.sendResponseHeaders(response.status(), bytes.length);
    exchange.getResponseBody().write(bytes);
  }

  private static void limitRequestTime() {
    String property = "sun.net.httpserver.maxReqTime";
    if (System.getProperty(property) == null) {
      System.setProperty(property, Long.toString(MAXIMUM_REQUEST_TIME.toSeconds()));
    }
  }

  private static CompletableFuture<Void> delay(Duration delay) {
    return CompletableFuture.runAsync(
        () -> {}, CompletableFuture.delayedExecutor(delay.toMillis(), TimeUnit.MILLISECONDS));
  }
}
