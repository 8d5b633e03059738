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
import java.util.function.BiPredicate;
import org.chicorylane.standin.metadata.MetadataEngine;

/**
 * The platform's store and its promotion call over HTTP, as PROTOCOL.md describes them, on the
 * project's own engine.
 */
final class Store implements AutoCloseable {

  /** A promotion call as the platform got it. */
  record Promotion(long nanos, String holder, long token, String service, String id) {}

  final MetadataEngine engine = new MetadataEngine();
  private final HttpServer server;
  private final ExecutorService executor = Executors.newCachedThreadPool();
  private final BiPredicate<String, String> promote;
  private final List<Promotion> promotions = new ArrayList<>();

  Store(BiPredicate<String, String> promote) throws IOException {
    this.promote = promote;
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.setExecutor(executor);
    server.createContext("/", this::handle);
    server.start();
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  /** Returns the promotion calls so far, in the order of their arrival. */
  synchronized List<Promotion> promotions() {
    return List.copyOf(promotions);
  }

  /** Waits until so many promotion calls have arrived, or the time is over. */
  synchronized void awaitPromotions(int count, long millis) throws InterruptedException {
    long end = System.nanoTime() + millis * 1_000_000;
    while (promotions.size() < count && System.nanoTime() < end) {
      wait(20);
    }
  }

  private void handle(HttpExchange exchange) throws IOException {
    try (exchange) {
      String text = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
      Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
      switch (exchange.getRequestURI().getPath()) {
        case "/-/kv-key" -> key(exchange, query.getOrDefault("key", ""));
        case "/-/kv-range" -> range(exchange, query.getOrDefault("prefix", ""));
        case "/-/kv-watch" -> watch(exchange, query);
        case "/-/kv-txn" -> transact(exchange, JsonParser.parseString(text).getAsJsonObject());
        case "/promotion" -> promotion(exchange, JsonParser.parseString(text).getAsJsonObject());
        default -> exchange.sendResponseHeaders(404, -1);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void key(HttpExchange exchange, String key) throws IOException {
    MetadataEngine.Item item = engine.get(key);
    JsonObject answer = item == null ? new JsonObject() : json(item);
    answer.addProperty("as_of", engine.revision());
    send(exchange, item == null ? 404 : 200, answer);
  }

  private void range(HttpExchange exchange, String prefix) throws IOException {
    JsonObject answer = new JsonObject();
    final long revision = engine.revision();
    JsonArray items = new JsonArray();
    engine.range(prefix).forEach(i -> items.add(json(i)));
    answer.add("items", items);
    answer.addProperty("has_more", false);
    answer.addProperty("as_of", revision);
    send(exchange, 200, answer);
  }

  private void watch(HttpExchange exchange, Map<String, String> query)
      throws IOException, InterruptedException {
    long after = Long.parseLong(query.get("after"));
    List<MetadataEngine.Item> changes =
        engine.changes(query.get("prefix"), after, Long.parseLong(query.get("wait_ms")));
    if (changes == null) {
      send(exchange, 410, new JsonObject());
      return;
    }
    JsonObject answer = new JsonObject();
    JsonArray events = new JsonArray();
    changes.forEach(i -> events.add(json(i)));
    answer.add("events", events);
    answer.addProperty(
        "as_of", changes.isEmpty() ? after : changes.get(changes.size() - 1).revision());
    send(exchange, 200, answer);
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
    List<String> removed = new ArrayList<>();
    call.getAsJsonArray("remove").forEach(e -> removed.add(e.getAsString()));
    long revision = engine.transact(expected, writes, removed);
    JsonObject answer = new JsonObject();
    if (revision > 0) {
      answer.addProperty("revision", revision);
      send(exchange, 200, answer);
      return;
    }
    JsonArray items = new JsonArray();
    engine.existingItems(expected.keySet()).values().forEach(i -> items.add(json(i)));
    answer.add("items", items);
    send(exchange, 412, answer);
  }

  private void promotion(HttpExchange exchange, JsonObject call) throws IOException {
    String service = call.get("service").getAsString();
    String id = call.get("id").getAsString();
    synchronized (this) {
      promotions.add(
          new Promotion(
              System.nanoTime(),
              exchange.getRequestHeaders().getFirst("Duty-Holder"),
              Long.parseLong(exchange.getRequestHeaders().getFirst("Fencing-Token")),
              service,
              id));
      notifyAll();
    }
    send(exchange, promote.test(service, id) ? 200 : 409, new JsonObject());
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

  private static Map<String, String> query(String raw) {
    Map<String, String> query = new HashMap<>();
    for (String part : raw == null ? new String[0] : raw.split("&")) {
      int equals = part.indexOf('=');
      query.put(
          part.substring(0, equals),
          URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
    }
    return query;
  }

  private static void send(HttpExchange exchange, int status, JsonObject body) throws IOException {
    byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, bytes.length);
    exchange.getResponseBody().write(bytes);
  }

  @Override
  public void close() {
    server.stop(0);
    executor.shutdownNow();
  }
}
