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
 * An HTTP client that sends the statements of one session and keeps its session token.
 *
 * <pre>{@code
 * CallerClient caller = new CallerClient(http, List.of(URI.create("http://127.0.0.1:7400")));
 * Reply reply = caller.read("plans", "lookup", "lookup", "SELECT 1", List.of());
 * }</pre>
 *
 * <p>Each request goes to an entry chosen at random, so that a session uses several instances. Not
 * thread-safe: a session sends one request at a time.
 */
public final class CallerClient {
  private static final Duration REQUEST_DEADLINE = Duration.ofSeconds(5);
  private static final Duration RESPONSE_GRACE = Duration.ofSeconds(2);
  private static final String SESSION_HEADER = "Chicorylane-Session";

  private final HttpClient http;
  private final List<URI> entries;
  private @Nullable String sessionToken;

  /**
   * Creates a session that has no token yet.
   *
   * @param http the client that sends the requests
   * @param entries the base URIs of the entries, at least one
   */
  public CallerClient(HttpClient http, List<URI> entries) {
    this.http = http;
    this.entries = List.copyOf(entries);
  }

  /** Sends one reading statement and returns its reply. */
  public Reply read(
      String group, String readClass, String requestClass, String sql, List<Object> parameters) {
    JsonObject body = requestBody(requestClass, sql, parameters);
    body.addProperty("readClass", readClass);
    return send(group, "read", body, null);
  }

  /** Sends one statement to run in a transaction, with an idempotency key; returns its reply. */
  public Reply write(
      String group, String requestClass, String sql, List<Object> parameters, String key) {
    return send(group, "write", requestBody(requestClass, sql, parameters), key);
  }

  private Reply send(String group, String action, JsonObject body, @Nullable String key) {
    URI entry = entries.get(ThreadLocalRandom.current().nextInt(entries.size()));
    HttpRequest.Builder request =
        HttpRequest.newBuilder(entry.resolve("/v1/groups/" + group + "/" + action))
            .timeout(REQUEST_DEADLINE.plus(RESPONSE_GRACE))
            .header("Content-Type", "application/json")
            .header("Chicorylane-Deadline-Millis", String.valueOf(REQUEST_DEADLINE.toMillis()))
            .POST(HttpRequest.BodyPublishers.ofString(body.toString()));
    if (key != null) {
      request.header("Idempotency-Key", key);
    }
    if (sessionToken != null) {
      request.header(SESSION_HEADER, sessionToken);
    }
    long start = System.nanoTime();
    try {
      HttpResponse<String> response =
          http.send(request.build(), HttpResponse.BodyHandlers.ofString());
      response.headers().firstValue(SESSION_HEADER).ifPresent(t -> sessionToken = t);
      return parseReply(response, Duration.ofNanos(System.nanoTime() - start));
    } catch (IOException e) {
      Duration latency = Duration.ofNanos(System.nanoTime() - start);
      return Reply.unknown(String.valueOf(e), latency);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Reply.unknown("interrupted", Duration.ofNanos(System.nanoTime() - start));
    }
  }

  private static JsonObject requestBody(String requestClass, String sql, List<Object> parameters) {
    JsonArray values = new JsonArray();
    for (Object p : parameters) {
      values.add(toJson(p));
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

  private static JsonElement toJson(Object parameter) {
    if (parameter instanceof Number n) {
      return new JsonPrimitive(n);
    }
    return parameter instanceof String s ? new JsonPrimitive(s) : JsonNull.INSTANCE;
  }

  private static Reply parseReply(HttpResponse<String> response, Duration latency) {
    try {
      JsonObject json = JsonParser.parseString(response.body()).getAsJsonObject();
      if (response.statusCode() == 200) {
        boolean fromReplica = json.get("fromReplica").getAsBoolean();
        return new Reply(
            Reply.Outcome.COMPLETED, parseRows(json), fromReplica, Duration.ZERO, "", latency);
      }
      Duration retryAfter =
          Optional.ofNullable(json.get("retryAfterMillis"))
              .map(e -> Duration.ofMillis(e.getAsLong()))
              .orElse(Duration.ZERO);
      Reply.Outcome outcome = Reply.Outcome.of(json.get("outcome").getAsString());
      String detail = json.get("title").getAsString() + ": " + json.get("detail").getAsString();
      return new Reply(outcome, List.of(), false, retryAfter, detail, latency);
    } catch (JsonParseException | IllegalStateException | NullPointerException e) {
      return Reply.unknown(response.statusCode() + " " + response.body(), latency);
    }
  }

  private static List<List<String>> parseRows(JsonObject json) {
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
