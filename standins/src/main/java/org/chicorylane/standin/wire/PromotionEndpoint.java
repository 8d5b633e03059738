package org.chicorylane.standin.wire;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Predicate;

/** The platform's call for promotions, an HTTP server on a loopback port. */
final class PromotionEndpoint implements AutoCloseable {

  private static final int OK = 200;
  private static final int CONFLICT = 409;

  private final HttpServer server;
  private final ExecutorService executor = Executors.newCachedThreadPool();
  private final Predicate<ReplicatedGroupListener.PromotionCall> action;

  /**
   * Starts the endpoint.
   *
   * @param action orders a promotion and returns whether its server runs
   */
  PromotionEndpoint(Predicate<ReplicatedGroupListener.PromotionCall> action) throws IOException {
    this.action = action;
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.setExecutor(executor);
    server.createContext("/promotion", this::handle);
    server.start();
  }

  /** Returns host and port, separated by a colon. */
  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  private void handle(HttpExchange exchange) throws IOException {
    try (exchange) {
      byte[] body = exchange.getRequestBody().readAllBytes();
      JsonObject call =
          JsonParser.parseString(new String(body, StandardCharsets.UTF_8)).getAsJsonObject();
      boolean accepted =
          action.test(
              new ReplicatedGroupListener.PromotionCall(
                  call.get("service").getAsString(),
                  call.get("id").getAsString(),
                  exchange.getRequestHeaders().getFirst("Duty-Holder"),
                  Long.parseLong(exchange.getRequestHeaders().getFirst("Fencing-Token"))));
      exchange.sendResponseHeaders(accepted ? OK : CONFLICT, -1);
    }
  }

  @Override
  public void close() {
    server.stop(0);
    executor.shutdownNow();
  }
}
