package org.chicorylane.internal.operator;

import java.net.URI;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * A completely read HTTP request of an operator. Immutable.
 *
 * @param method the HTTP method
 * @param path the decoded segments of the path
 * @param query the decoded query parameters by name
 * @param changedBy the name of the operator
 * @param body the body; empty if there is none
 */
record OperatorRequest(
    String method,
    List<String> path,
    Map<String, String> query,
    String changedBy,
    ByteBuffer body) {

  /**
   * Creates a request from its raw parts.
   *
   * @throws IllegalArgumentException if the URI contains an invalid escape sequence
   */
  static OperatorRequest of(String method, URI uri, String changedBy, byte[] body) {
    List<String> path =
        Arrays.stream(uri.getRawPath().split("/", -1)).skip(1).map(s -> decode(s)).toList();
    Map<String, String> query = new HashMap<>();
    if (uri.getRawQuery() != null) {
      for (String pair : uri.getRawQuery().split("&", -1)) {
        String[] parts = pair.split("=", 2);
        query.put(decode(parts[0]), parts.length == 2 ? decode(parts[1]) : "");
      }
    }
    return new OperatorRequest(
        method, path, Map.copyOf(query), changedBy, ByteBuffer.wrap(body).asReadOnlyBuffer());
  }

  /** Returns whether a query parameter is {@code true}. */
  boolean isTrue(String parameter) {
    return "true".equals(query.get(parameter));
  }

  /** Returns a query parameter; null if absent. */
  @Nullable String parameter(String name) {
    return query.get(name);
  }

  /** Returns whether the path has that many segments and starts with {@code first}. */
  boolean matchesPath(int segments, String... first) {
    return path.size() == segments
        && path.subList(0, Math.min(first.length, segments)).equals(Arrays.asList(first));
  }

  /** Returns a view of the body with its own position. */
  ByteBuffer bodyBytes() {
    return body.duplicate();
  }

  /**
   * Returns the body as text.
   *
   * @throws IllegalArgumentException if the body is not UTF-8
   */
  String bodyText() {
    try {
      return StandardCharsets.UTF_8.newDecoder().decode(bodyBytes()).toString();
    } catch (CharacterCodingException e) {
      throw new IllegalArgumentException("the body is not UTF-8", e);
    }
  }

  private static String decode(String part) {
    return URLDecoder.decode(part, StandardCharsets.UTF_8);
  }
}
