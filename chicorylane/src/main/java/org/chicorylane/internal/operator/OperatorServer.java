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
 * Serves the resource API over HTTP/1.1 to operators who hold the bearer token.
 *
 * <pre>{@code
 * OperatorServer server =
 *     OperatorServer.start(
 *         address, token, store, new GossipFleetStatus(agent, feed::current), clock);
 * }</pre>
 *
 * <p>It is the JDK's server with a few blocking threads: operators are few and wait for the store
 * anyway, so nothing is gained from event loops. It never runs on the threads that serve callers.
 *
 * <p>Thread-safe. Each request holds one of the threads until it is read and answered; an operator
 * who sends slowly is cut after {@link #MAXIMUM_REQUEST_TIME}, unless the program sets the JDK's
 * properties otherwise.
 */
public final class OperatorServer implements AutoCloseable {
  /** The header field that says who asks. */
  public static final String CHANGED_BY_HEADER = "Chicorylane-Changed-By";

  static final int MAXIMUM_BODY_BYTES = 1 << 20;
  static final Duration MAXIMUM_REQUEST_TIME = Duration.ofSeconds(10);
  private static final int THREADS = 4;
  private static final String SCHEME = "Bearer ";

  private final HttpServer http;
  private final ExecutorService threads;
  private final OperatorService service;
  private final byte[] authorization;

  private OperatorServer(HttpServer http, OperatorService service, String token) {
    this.http = http;
    this.service = service;
    this.authorization = (SCHEME + token).getBytes(StandardCharsets.UTF_8);
    this.threads =
        Executors.newFixedThreadPool(
            THREADS,
            work -> {
              Thread thread = new Thread(work, "operator");
              thread.setDaemon(true);
              return thread;
            });
  }

  /**
   * Starts a server; it is bound when this returns.
   *
   * @param token what operators must present
   * @param store where the documents are
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
      throw new IllegalArgumentException("the operators' token is empty");
    }
    limitRequestTime();
    try {
      HttpServer http = HttpServer.create(address, 0);
      OperatorServer server =
          new OperatorServer(http, new OperatorService(resources, fleet), token);
      http.setExecutor(server.threads);
      http.createContext("/", server::handle);
      http.start();
      Logger.info("operators are served on {}", http.getAddress());
      return server;
    } catch (IOException e) {
      throw new UncheckedIOException(
          "operators cannot be served on " + address + ": " + e.getMessage(), e);
    }
  }

  /**
   * Serves a page at a path, to holders of the token.
   *
   * @param contentType the page's media type
   * @param page makes the page; called for each request
   */
  public void mount(String path, String contentType, Supplier<String> page) {
    http.createContext(path, exchange -> servePage(exchange, contentType, page));
  }

  /** Returns the address that it is bound to. */
  public InetSocketAddress address() {
    return http.getAddress();
  }

  @Override
  public void close() {
    http.stop(0);
    threads.shutdownNow();
  }

  private void handle(HttpExchange exchange) {
    try (exchange) {
      send(exchange, answer(exchange));
    } catch (IOException e) {
      Logger.debug("an operator's connection broke: {}", e.getMessage());
    }
  }

  private void servePage(HttpExchange exchange, String contentType, Supplier<String> page)
      throws IOException {
    try (exchange) {
      if (!authorized(exchange)) {
        send(exchange, unauthorized(exchange));
        return;
      }
      byte[] bytes = page.get().getBytes(StandardCharsets.UTF_8);
      exchange.getResponseHeaders().set("Content-Type", contentType);
      exchange.sendResponseHeaders(OperatorAnswer.OK, bytes.length);
      exchange.getResponseBody().write(bytes);
    }
  }

  private static OperatorAnswer unauthorized(HttpExchange exchange) {
    Logger.warn("operator refused: wrong bearer token from {}", exchange.getRemoteAddress());
    return OperatorAnswer.problem(
        OperatorAnswer.UNAUTHORIZED, OperatorProblem.UNAUTHORIZED, "the bearer token is not right");
  }

  private OperatorAnswer answer(HttpExchange exchange) throws IOException {
    if (!authorized(exchange)) {
      return unauthorized(exchange);
    }
    byte[] body = exchange.getRequestBody().readNBytes(MAXIMUM_BODY_BYTES + 1);
    if (body.length > MAXIMUM_BODY_BYTES) {
      return OperatorAnswer.problem(
          OperatorAnswer.TOO_LARGE,
          OperatorProblem.INVALID,
          "the body is larger than " + MAXIMUM_BODY_BYTES + " bytes");
    }
    try {
      String changedBy = exchange.getRequestHeaders().getFirst(CHANGED_BY_HEADER);
      return service.answer(
          OperatorRequest.of(
              exchange.getRequestMethod(),
              exchange.getRequestURI(),
              Optional.ofNullable(changedBy).orElse("unnamed"),
              body));
    } catch (IllegalArgumentException e) {
      return OperatorAnswer.problem(
          OperatorAnswer.BAD_REQUEST,
          OperatorProblem.INVALID,
          "the URI or the body is encoded wrongly");
    } catch (RuntimeException e) {
      Logger.error(e, "an operator's request failed");
      return OperatorAnswer.problem(
          OperatorAnswer.INTERNAL_ERROR,
          OperatorProblem.INTERNAL_ERROR,
          "the instance failed on the request; its log says why");
    }
  }

  private boolean authorized(HttpExchange exchange) {
    String given = exchange.getRequestHeaders().getFirst("Authorization");
    return given != null
        && MessageDigest.isEqual(authorization, given.getBytes(StandardCharsets.UTF_8));
  }

  private static void send(HttpExchange exchange, OperatorAnswer answer) throws IOException {
    byte[] bytes = answer.body().toString().getBytes(StandardCharsets.UTF_8);
    boolean problem = answer.status() >= OperatorAnswer.BAD_REQUEST;
    exchange
        .getResponseHeaders()
        .set("Content-Type", problem ? "application/problem+json" : "application/json");
    exchange.sendResponseHeaders(answer.status(), bytes.length);
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
