package org.chicorylane.internal.caller;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.chicorylane.internal.finding.Finding;

/**
 * Reads the header fields that the HTTP server supports.
 *
 * <pre>{@code
 * RequestHeaders headers = new RequestHeaders(nettyHeaders, findings);
 * Duration timeToWait = headers.timeToWait(limits);
 * }</pre>
 *
 * <p>Not thread-safe.
 */
final class RequestHeaders {
  /** The source of findings about header fields. */
  static final String SOURCE = "headers";

  private static final Pattern REQUEST_ID = Pattern.compile("[A-Za-z0-9._:/+=-]{1,64}");
  private static final Pattern KEY_CHARACTERS = Pattern.compile("[\\x21-\\x7e]+");
  private static final Pattern TRACEPARENT =
      Pattern.compile("[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}");
  private static final Pattern PREFER_WAIT =
      Pattern.compile("(?:^|,)\\s*wait\\s*=\\s*\"?(\\d{1,6})\"?\\s*(?:[;,]|$)");
  private static final Pattern MILLIS = Pattern.compile("\\d{1,12}");

  private final HttpHeaders headers;
  private final List<Finding> findings;

  RequestHeaders(HttpHeaders headers, List<Finding> findings) {
    this.headers = headers;
    this.findings = findings;
  }

  /**
   * Returns the id that the caller assigned to its request, otherwise the id of its trace. Empty if
   * neither header field is well-formed.
   */
  static Optional<String> callerRequestId(HttpHeaders headers) {
    String id = headers.get(HeaderNames.REQUEST_ID);
    if (id != null && REQUEST_ID.matcher(id).matches()) {
      return Optional.of(id);
    }
    return traceparent(headers).map(trace -> trace.split("-", -1)[1]);
  }

  /** Returns the {@code traceparent} of the W3C trace context; empty if it is not well-formed. */
  static Optional<String> traceparent(HttpHeaders headers) {
    return Optional.ofNullable(headers.get(HeaderNames.TRACEPARENT))
        .filter(trace -> TRACEPARENT.matcher(trace).matches());
  }

  /** Returns whether the declared content type is JSON, or none is declared. */
  static boolean mayBeJson(HttpHeaders headers) {
    String type = headers.get(HttpHeaderNames.CONTENT_TYPE);
    if (type == null) {
      return true;
    }
    int end = type.indexOf(';');
    String media = (end < 0 ? type : type.substring(0, end)).strip().toLowerCase(Locale.ROOT);
    return media.equals("application/json") || media.endsWith("+json");
  }

  /** Returns the encoded session token; empty if there is none. */
  Optional<String> sessionToken() {
    return singleValue(HeaderNames.SESSION.toString()).map(String::strip);
  }

  /**
   * Returns the idempotency key without surrounding quotes; empty if there is none or it is
   * invalid.
   *
   * @param maximumLength the maximum length of the key, in characters
   */
  Optional<String> idempotencyKey(int maximumLength) {
    Optional<String> field = singleValue(HeaderNames.IDEMPOTENCY_KEY.toString());
    if (field.isEmpty()) {
      return Optional.empty();
    }
    String key = field.get().strip();
    if (key.length() >= 2 && key.startsWith("\"") && key.endsWith("\"")) {
      key = key.substring(1, key.length() - 1);
    }
    if (key.length() > maximumLength || !KEY_CHARACTERS.matcher(key).matches()) {
      report(
          HeaderNames.IDEMPOTENCY_KEY.toString(),
          "expected 1 to " + maximumLength + " visible ASCII characters");
      return Optional.empty();
    }
    return Optional.of(key);
  }

  /**
   * Returns how long the caller waits for its response, at most the maximum in {@code limits}. The
   * header field in milliseconds takes precedence over {@code Prefer: wait}.
   */
  Duration timeToWait(TimeLimits limits) {
    Duration wait = requestedWait().orElse(limits.defaultDeadline());
    return wait.compareTo(limits.maximumDeadline()) > 0 ? limits.maximumDeadline() : wait;
  }

  /** Returns the seconds of {@code Prefer: wait}; empty if it is absent or overridden. */
  Optional<Long> preferredSeconds() {
    if (headers.contains(HeaderNames.DEADLINE_MILLIS)) {
      return Optional.empty();
    }
    for (String field : headers.getAll(HeaderNames.PREFER)) {
      Matcher m = PREFER_WAIT.matcher(field.toLowerCase(Locale.ROOT));
      if (m.find()) {
        return Optional.of(Long.valueOf(m.group(1)));
      }
    }
    return Optional.empty();
  }

  private Optional<Duration> requestedWait() {
    Optional<String> millis =
        singleValue(HeaderNames.DEADLINE_MILLIS.toString()).map(String::strip);
    if (millis.isEmpty()) {
      return preferredSeconds().map(Duration::ofSeconds);
    }
    if (!MILLIS.matcher(millis.get()).matches()) {
      report(
          HeaderNames.DEADLINE_MILLIS.toString(),
          "expected whole milliseconds, not \"" + millis.get() + "\"");
      return Optional.empty();
    }
    return Optional.of(Duration.ofMillis(Long.parseLong(millis.get())));
  }

  private Optional<String> singleValue(String name) {
    List<String> fields = headers.getAll(name);
    if (fields.size() > 1) {
      report(name, "the header field stands " + fields.size() + " times");
      return Optional.empty();
    }
    return fields.stream().findFirst();
  }

  private void report(String name, String message) {
    findings.add(new Finding(SOURCE, name, message));
  }
}
