package org.chicorylane.standin.metadata;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiPredicate;

/**
 * The users' metadata store on a loopback port: keys, ranges, watches, conditional changes, and the
 * call that promotes a server.
 */
public final class StandInMetadataStore implements AutoCloseable {

  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;
  private static final int GONE = 410;
  private static final int CONDITION_FAILED = 412;
  private static final int UNAVAILABLE = 503;

  private final MetadataEngine engine = new MetadataEngine();
  private final HttpServer server;
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final AtomicInteger lostAnswers = new AtomicInteger();
  private volatile boolean down;
  private volatile BiPredicate<String, String> promotion = (service, id) -> true;

  /** Starts a store without keys. */
  public StandInMetadataStore() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.setExecutor(threads);
    server.createContext("/", this::handle);
    server.start();
  }

  /** Returns host and port. */
  public String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  /** Returns what the store holds. */
  public MetadataEngine engine() {
    return engine;
  }

  /** Answers each call with 503 while {@code isDown}. */
  public void setDown(boolean isDown) {
    down = isDown;
  }

  /** Runs the next {@code count} changes and closes the connection without an answer. */
  public void loseAnswers(int count) {
    lostAnswers.set(count);
  }

  /** Sets what a promotion does; it returns whether the server can be promoted. */
  public void onPromotion(BiPredicate<String, String> action) {
    promotion = action;
  }

  @Override
  public void close() {
    server.stop(0);
    threads.shutdownNow();
  }

  private void handle(HttpExchange exchange) throws IOException {
    try (exchange) {
      byte[] body = exchange.getRequestBody().readAllBytes();
      if (down) {
        exchange.sendResponseHeaders(UNAVAILABLE, -1);
        return;
      }
      Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
      switch (exchange.getRequestURI().getPath()) {
        case "/-/kv-key" -> key(exchange, query);
        case "/-/kv-range" -> range(exchange, query);
        case "/-/kv-watch" -> watch(exchange, query);
        case "/-/kv-txn" -> transact(exchange, parse(body));
        case "/promotion" -> promote(exchange, parse(body));
        default -> exchange.sendResponseHeaders(NOT_FOUND, -1);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void key(HttpExchange exchange, Map<String, String> query) throws IOException {
    MetadataEngine.Item item = engine.get(query.getOrDefault("key", ""));
    JsonObject answer = item == null ? new JsonObject() : json(item);
    answer.addProperty("as_of", engine.revision());
    send(exchange, item == null ? NOT_FOUND : OK, answer);
  }

  private void range(HttpExchange exchange, Map<String, String> query) throws IOException {
    JsonObject answer = new JsonObject();
    final long revision = engine.revision();
    JsonArray items = new JsonArray();
    engine.range(query.getOrDefault("prefix", "")).forEach(i -> items.add(json(i)));
    answer.add("items", items);
    answer.addProperty("has_more", false);
    answer.addProperty("as_of", revision);
    send(exchange, OK, answer);
  }

  private void watch(HttpExchange exchange, Map<String, String> query)
      throws IOException, InterruptedException {
    long after = Long.parseLong(query.getOrDefault("after", "0"));
    List<MetadataEngine.Item> changes =
        engine.changes(
            query.getOrDefault("prefix", ""),
            after,
            Long.parseLong(query.getOrDefault("wait_ms", "0")));
    if (changes == null) {
      exchange.sendResponseHeaders(GONE, -1);
      return;
    }
    JsonObject answer = new JsonObject();
    JsonArray events = new JsonArray();
    changes.forEach(i -> events.add(json(i)));
    answer.add("events", events);
    long last = changes.isEmpty() ? after : changes.get(changes.size() - 1).revision();
    answer.addProperty("as_of", Math.max(after, last));
    send(exchange, OK, answer);
  }

  private void transact(HttpExchange exchange, JsonObject call) throws IOException {
    Map<String, Long> expected = new LinkedHashMap<>();
    for (JsonElement e : call.getAsJsonArray("expected")) {
      JsonObject row = e.getAsJsonObject();
      expected.put(row.get("key").getAsString(), row.get("revision").getAsLong());
    }
    Map<String, String> writes = new LinkedHashMap<>();
    for (JsonElement e : call.getAsJsonArray("writes")) {
      JsonObject row = e.getAsJsonObject();
      writes.put(row.get("key").getAsString(), row.get("value").getAsString());
    }
    List<String> removals = new ArrayList<>();
    call.getAsJsonArray("remove").forEach(e -> removals.add(e.getAsString()));
    long revision = engine.transact(expected, writes, removals);
    if (lostAnswers.getAndUpdate(n -> Math.max(0, n - 1)) > 0) {
      return;
    }
    JsonObject answer = new JsonObject();
    if (revision > 0) {
      answer.addProperty("revision", revision);
      send(exchange, OK, answer);
      return;
    }
    JsonArray items = new JsonArray();
    engine.present(expected.keySet()).values().forEach(i -> items.add(json(i)));
    answer.add("items", items);
    send(exchange, CONDITION_FAILED, answer);
  }

  private void promote(HttpExchange exchange, JsonObject call) throws IOException {
    boolean done = promotion.test(call.get("service").getAsString(), call.get("id").getAsString());
    send(exchange, done ? OK : CONFLICT, new JsonObject());
  }

  private static JsonObject json(MetadataEngine.Item item) {
    JsonObject o = new JsonObject();
    o.addProperty("key", item.key());
    o.addProperty("revision", item.revision());
    if (item.value() == null) {
      o.addProperty("tombstone", true);
    } else {
      o.addProperty("value", item.value());
      o.addProperty("created", item.created());
      o.addProperty("lease", 0);
    }
    return o;
  }

  private static JsonObject parse(byte[] body) {
    return JsonParser.parseString(new String(body, StandardCharsets.UTF_8)).getAsJsonObject();
  }

  private static Map<String, String> query(String raw) {
    Map<String, String> query = new HashMap<>();
    if (raw == null) {
      return query;
    }
    for (String part : raw.split("&", -1)) {
      int equals = part.indexOf('=');
      if (equals > 0) {
        query.put(
            part.substring(0, equals),
            URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
      }
    }
    return query;
  }

  private static void send(HttpExchange exchange, int status, JsonObject body) throws IOException {
    byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, bytes.length);
    exchange.getResponseBody().write(bytes);
  }
}
