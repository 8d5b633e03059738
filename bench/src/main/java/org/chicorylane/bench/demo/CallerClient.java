package org.chicorylane.bench.demo;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonNull;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import com.google.gson.JsonPrimitive;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.jspecify.annotations.Nullable;

/**
 * A caller's session: sends statements to any entry over HTTP and carries its session token.
 *
 * <pre>{@code
 * CallerClient caller = new CallerClient(http, List.of(URI.create("http://127.0.0.1:7400")));
 * Reply reply = caller.read("plans", "lookup", "lookup", "SELECT 1", List.of());
 * }</pre>
 *
 * <p>Each request goes to an entry drawn at random, so sessions roam. Not thread-safe: a session
 * sends one request at a time.
 */
public final class CallerClient {
  private static final Duration DEADLINE = Duration.ofSeconds(5);
  private static final Duration ANSWER_GRACE = Duration.ofSeconds(2);
  private static final String SESSION_HEADER = "Chicorylane-Session";

  private final HttpClient http;
  private final List<URI> entries;
  private @Nullable String token;

  /**
   * Makes a session without a token.
   *
   * @param http sends the requests
   * @param entries the base URIs of the entries, at least one
   */
  public CallerClient(HttpClient http, List<URI> entries) {
    this.http = http;
    this.entries = List.copyOf(entries);
  }

  /** Runs one reading statement. */
  public Reply read(
      String group, String readClass, String requestClass, String sql, List<Object> parameters) {
    JsonObject body = body(requestClass, sql, parameters);
    body.addProperty("readClass", readClass);
    return send(group, "read", body, null);
  }

  /** Runs statements in one transaction, under an idempotency key. */
  public Reply write(
      String group, String requestClass, String sql, List<Object> parameters, String key) {
    return send(group, "write", body(requestClass, sql, parameters), key);
  }

  private Reply send(String group, String action, JsonObject body, @Nullable String key) {
    URI entry = entries.get(ThreadLocalRandom.current().nextInt(entries.size()));
    HttpRequest.Builder request =
        HttpRequest.newBuilder(entry.resolve("/v1/groups/" + group + "/" + action))
            .timeout(DEADLINE.plus(ANSWER_GRACE))
            .header("Content-Type", "application/json")
            .header("Chicorylane-Deadline-Millis", String.valueOf(DEADLINE.toMillis()))
            .POST(HttpRequest.BodyPublishers.ofString(body.toString()));
    if (key != null) {
      request.header("Idempotency-Key", key);
    }
    if (token != null) {
      request.header(SESSION_HEADER, token);
    }
    long start = System.nanoTime();
    try {
      HttpResponse<String> response =
          http.send(request.build(), HttpResponse.BodyHandlers.ofString());
      response.headers().firstValue(SESSION_HEADER).ifPresent(t -> token = t);
      return reply(response, Duration.ofNanos(System.nanoTime() - start));
    } catch (IOException e) {
      Duration took = Duration.ofNanos(System.nanoTime() - start);
      return Reply.broken(String.valueOf(e), took);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Reply.broken("interrupted", Duration.ofNanos(System.nanoTime() - start));
    }
  }

  private static JsonObject body(String requestClass, String sql, List<Object> parameters) {
    JsonArray values = new JsonArray();
    for (Object p : parameters) {
      values.add(value(p));
    }
    JsonObject statement = new JsonObject();
    statement.addProperty("sql", sql);
    statement.add("parameters", values);
    JsonArray statements = new JsonArray();
    statements.add(statement);
    JsonObject body = new JsonObject();
    body.add("statements", statements);
    body.addProperty("requestClass", requestClass);
    return body;
  }

  private static JsonElement value(Object parameter) {
    if (parameter instanceof Number n) {
      return new JsonPrimitive(n);
    }
    return parameter instanceof String s ? new JsonPrimitive(s) : JsonNull.INSTANCE;
  }

  private static Reply reply(HttpResponse<String> response, Duration took) {
    try {
      JsonObject json = JsonParser.parseString(response.body()).getAsJsonObject();
      if (response.statusCode() == 200) {
        boolean fromReplica = json.get("fromReplica").getAsBoolean();
        return new Reply(Reply.Fate.COMPLETED, rows(json), fromReplica, Duration.ZERO, "", took);
      }
      Duration retryAfter =
          Optional.ofNullable(json.get("retryAfterMillis"))
              .map(e -> Duration.ofMillis(e.getAsLong()))
              .orElse(Duration.ZERO);
      Reply.Fate fate = Reply.Fate.of(json.get("outcome").getAsString());
      String detail = json.get("title").getAsString() + ": " + json.get("detail").getAsString();
      return new Reply(fate, List.of(), false, retryAfter, detail, took);
    } catch (JsonParseException | IllegalStateException | NullPointerException e) {
      return Reply.broken(response.statusCode() + " " + response.body(), took);
    }
  }

  private static List<List<String>> rows(JsonObject json) {
    JsonArray rows = json.getAsJsonArray("results").get(0).getAsJsonObject().getAsJsonArray("rows");
    return rows.asList().stream()
        .map(
            r ->
                r.getAsJsonArray().asList().stream()
                    .map(v -> v.isJsonNull() ? "" : v.getAsString())
                    .toList())
        .toList();
  }
}
