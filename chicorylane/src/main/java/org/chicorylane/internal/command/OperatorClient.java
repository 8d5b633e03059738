package org.chicorylane.internal.command;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.chicorylane.internal.operator.OperatorServer;

/**
 * An HTTP client that sends an operator's requests to one instance.
 *
 * <pre>{@code
 * OperatorReply reply = client.send("GET", "/v1/status", "");
 * }</pre>
 *
 * <p>Thread-safe. Calls block until the answer arrives. No request is retried.
 */
final class OperatorClient {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(3);
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(30);

  private final HttpClient http =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(CONNECT_TIMEOUT)
          .build();
  private final URI base;
  private final String token;
  private final String changedBy;

  /**
   * Creates a client.
   *
   * @param base the address of the instance
   * @param token the operators' token
   * @param changedBy the name of the operator; characters other than printable ASCII, which a
   *     header field cannot hold, are replaced by {@code ?}
   */
  OperatorClient(URI base, String token, String changedBy) {
    this.base = base;
    this.token = token;
    this.changedBy = changedBy.replaceAll("[^ -~]", "?");
  }

  /** Returns the name of the operator, as sent with each request. */
  String changedBy() {
    return changedBy;
  }

  /** Returns a path segment, URL-encoded. */
  static String encodeSegment(String name) {
    return URLEncoder.encode(name, StandardCharsets.UTF_8);
  }

  /** Sends a request and returns the answer, or the reason why there is none. */
  OperatorReply send(String method, String path, String body) {
    try {
      HttpRequest request =
          HttpRequest.newBuilder(base.resolve(path))
              .timeout(REQUEST_TIMEOUT)
              .method(method, HttpRequest.BodyPublishers.ofString(body))
              .header("Authorization", "Bearer " + token)
              .header("Content-Type", "application/json")
              .header(OperatorServer.CHANGED_BY_HEADER, changedBy)
              .build();
      HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
      JsonElement answer = JsonParser.parseString(response.body());
      return answer instanceof JsonObject object
          ? new OperatorReply.Answered(response.statusCode(), object)
          : new OperatorReply.Unreachable("the answer is no JSON object");
    } catch (JsonParseException e) {
      return new OperatorReply.Unreachable("the answer is no JSON");
    } catch (IllegalArgumentException e) {
      return new OperatorReply.Unreachable("the request cannot be made: " + e.getMessage());
    } catch (IOException e) {
      return new OperatorReply.Unreachable(
          base + " does not answer: " + e.getClass().getSimpleName() + " " + e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return new OperatorReply.Unreachable("interrupted");
    }
  }
}
