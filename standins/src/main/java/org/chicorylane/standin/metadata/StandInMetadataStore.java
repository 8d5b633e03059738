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
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiPredicate;

/**
 * A test double for the users' metadata store, an HTTP server on a loopback port. It serves reads
 * of keys and ranges, watches (by long polling), conditional changes, and the call that promotes a
 * database server.
 */
public final class StandInMetadataStore implements AutoCloseable {

  /** Header of all answers with the era, which rises when the store is restored from a copy. */
  private static final String ERA_HEADER = "Store-Era";

  /** Determines which responses are sent twice. */
  private static final long RELAY_SEED = 45;

  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;
  private static final int GONE = 410;
  private static final int PRECONDITION_FAILED = 412;
  private static final int UNAVAILABLE = 503;

  /**
   * A promotion call that the store has received.
   *
   * @param serverId the server to promote
   * @param fencingToken the fencing token that guards the call
   */
  public record PromotionCall(String serverId, long fencingToken) {}

  private final MetadataEngine engine = new MetadataEngine();
  private final HttpServer server;
  private final ResponseRelay relay;
  private final ExecutorService executor = Executors.newCachedThreadPool();
  private final AtomicInteger answersToLose = new AtomicInteger();
  private final List<PromotionCall> promotionCalls = new ArrayList<>();
  private final CountDownLatch watchesStarted = new CountDownLatch(1);
  private volatile boolean down;

  /** Performs the promotion of the server with the given group and id. */
  private volatile BiPredicate<String, String> promotion = (service, id) -> true;

  /** Starts a store without keys on a free port. */
  public StandInMetadataStore() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.setExecutor(executor);
    server.createContext("/", this::handle);
    server.start();
    relay = new ResponseRelay(server.getAddress(), RELAY_SEED);
  }

  /** Returns host and port, separated by a colon. */
  public String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  /** Returns host and port under which responses can come twice, separated by a colon. */
  public String relayedAddress() {
    return relay.address();
  }

  /**
   * Sends a share of the responses of {@link #relayedAddress} twice, half of the copies at once and
   * half of them late.
   *
   * @param share the share, 0 to 1
   * @param maxDelayMillis the longest delay of a late copy, in milliseconds
   */
  public void copyResponses(double share, int maxDelayMillis) {
    relay.copy(share, maxDelayMillis);
  }

  /** Returns the number of responses that were drawn to be sent twice. */
  public long copiedResponses() {
    return relay.copies();
  }

  /** Returns the content of the store. */
  public MetadataEngine engine() {
    return engine;
  }

  /** Brings the store back from an earlier copy of its content; ends {@link #setDown an outage}. */
  public void restore(MetadataEngine.Copy copy) {
    engine.restore(copy);
    down = false;
  }

  /**
   * Waits until a watch has arrived.
   *
   * @param millis the longest wait, in milliseconds
   * @return whether a watch arrived in time
   */
  public boolean awaitWatch(long millis) throws InterruptedException {
    return watchesStarted.await(millis, TimeUnit.MILLISECONDS);
  }

  /** Sets whether the store answers every call with status 503. */
  public void setDown(boolean newDown) {
    down = newDown;
  }

  /**
   * Loses the answers of the next {@code count} conditional changes: each is processed, then its
   * connection is closed without an answer.
   */
  public void loseAnswers(int count) {
    answersToLose.set(count);
  }

  /**
   * Sets the action that performs a promotion. By default every promotion succeeds without effect.
   *
   * @param action receives the name of the database group and the id of the server, and returns
   *     whether the server was promoted; if not, the call is answered with status 409
   */
  public void onPromotion(BiPredicate<String, String> action) {
    promotion = action;
  }

  @Override
  public void close() throws IOException {
    relay.close();
    server.stop(0);
    executor.shutdownNow();
  }

  private void handle(HttpExchange exchange) throws IOException {
    try (exchange) {
      byte[] body = exchange.getRequestBody().readAllBytes();
      exchange.getResponseHeaders().set(ERA_HEADER, Long.toString(engine.era()));
      if (down) {
        exchange.sendResponseHeaders(UNAVAILABLE, -1);
        return;
      }
      Map<String, String> query = parseQuery(exchange.getRequestURI().getRawQuery());
      switch (exchange.getRequestURI().getPath()) {
        case "/-/kv-key" -> readKey(exchange, query);
        case "/-/kv-range" -> readRange(exchange, query);
        case "/-/kv-watch" -> watch(exchange, query);
        case "/-/kv-txn" -> transact(exchange, parse(body));
        case "/promotion" -> promote(exchange, parse(body));
        default -> exchange.sendResponseHeaders(NOT_FOUND, -1);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void readKey(HttpExchange exchange, Map<String, String> query) throws IOException {
    MetadataEngine.Item item = engine.get(query.getOrDefault("key", ""));
    JsonObject answer = item == null ? new JsonObject() : toJson(item);
    answer.addProperty("as_of", engine.revision());
    send(exchange, item == null ? NOT_FOUND : OK, answer);
  }

  private void readRange(HttpExchange exchange, Map<String, String> query) throws IOException {
    JsonObject answer = new JsonObject();
    final long revision = engine.revision();
    JsonArray items = new JsonArray();
    engine.range(query.getOrDefault("prefix", "")).forEach(i -> items.add(toJson(i)));
    answer.add("items", items);
    answer.addProperty("has_more", false);
    answer.addProperty("as_of", revision);
    send(exchange, OK, answer);
  }

  private void watch(HttpExchange exchange, Map<String, String> query)
      throws IOException, InterruptedException {
    long after = Long.parseLong(query.getOrDefault("after", "0"));
    long startEra = engine.era();
    watchesStarted.countDown();
    List<MetadataEngine.Item> changes =
        engine.changes(
            query.getOrDefault("prefix", ""),
            after,
            Long.parseLong(query.getOrDefault("wait_ms", "0")),
            startEra);
    if (changes == null) {
      send(exchange, GONE, new JsonObject());
      return;
    }
    JsonObject answer = new JsonObject();
    JsonArray events = new JsonArray();
    changes.forEach(i -> events.add(toJson(i)));
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
    if (answersToLose.getAndUpdate(n -> Math.max(0, n - 1)) > 0) {
      return;
    }
    JsonObject answer = new JsonObject();
    if (revision > 0) {
      answer.addProperty("revision", revision);
      send(exchange, OK, answer);
      return;
    }
    JsonArray items = new JsonArray();
    engine.existingItems(expected.keySet()).values().forEach(i -> items.add(toJson(i)));
    answer.add("items", items);
    send(exchange, PRECONDITION_FAILED, answer);
  }

  /**
   * Waits for promotion calls.
   *
   * @param count the number of calls to wait for, counted from the start of the store
   * @param millis the longest wait, in milliseconds
   * @return all calls so far, in order of arrival
   */
  public List<PromotionCall> awaitPromotionCalls(int count, long millis)
      throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    synchronized (promotionCalls) {
      long left = millis;
      while (promotionCalls.size() < count && left > 0) {
        promotionCalls.wait(left);
        left = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime());
      }
      return List.copyOf(promotionCalls);
    }
  }

  private void promote(HttpExchange exchange, JsonObject call) throws IOException {
    String token = exchange.getRequestHeaders().getFirst("Fencing-Token");
    synchronized (promotionCalls) {
      promotionCalls.add(new PromotionCall(call.get("id").getAsString(), Long.parseLong(token)));
      promotionCalls.notifyAll();
    }
    boolean promoted =
        promotion.test(call.get("service").getAsString(), call.get("id").getAsString());
    send(exchange, promoted ? OK : CONFLICT, new JsonObject());
  }

  private static JsonObject toJson(MetadataEngine.Item item) {
    JsonObject json = new JsonObject();
    json.addProperty("key", item.key());
    json.addProperty("revision", item.revision());
    if (item.value() == null) {
      json.addProperty("tombstone", true);
    } else {
      json.addProperty("value", item.value());
      json.addProperty("created", item.created());
      json.addProperty("lease", 0);
    }
    return json;
  }

  private static JsonObject parse(byte[] body) {
    return JsonParser.parseString(new String(body, StandardCharsets.UTF_8)).getAsJsonObject();
  }

  private static Map<String, String> parseQuery(String raw) {
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

  /** Sends an answer, or closes the connection if the store was restored since the call came. */
  private void send(HttpExchange exchange, int status, JsonObject body) throws IOException {
    String era = exchange.getResponseHeaders().getFirst(ERA_HEADER);
    if (!era.equals(Long.toString(engine.era()))) {
      return;
    }
    byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, bytes.length);
    exchange.getResponseBody().write(bytes);
  }
}
