package org.chicorylane.internal.caller;

import com.google.gson.stream.JsonWriter;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import org.chicorylane.internal.finding.Finding;
import org.chicorylane.internal.outcome.Outcome;
import org.chicorylane.internal.statement.SqlValue;
import org.chicorylane.internal.statement.StatementResult;

/**
 * Creates responses with JSON bodies.
 *
 * <pre>{@code
 * CallerResponse response = ResponseWriter.problem(Problem.of(notRun), "r-1");
 * }</pre>
 *
 * <p>Integers and finite doubles are written as JSON numbers. Decimals are written as strings, so
 * that JSON parsers do not round them. Other values without a JSON representation are written as
 * text, as PostgreSQL formats them. Stateless and thread-safe.
 */
final class ResponseWriter {
  private static final String TYPE_BASE = "https://chicorylane.example/problems/";
  private static final String HELP_BASE = "https://chicorylane.example/docs/TROUBLESHOOTING#";

  private ResponseWriter() {}

  /** Writes the content of a JSON document. */
  @FunctionalInterface
  private interface JsonContent {
    void writeTo(JsonWriter json) throws IOException;
  }

  /** Returns the response to a completed request. */
  static CallerResponse completed(Outcome.Completed completed) {
    return response(
        200,
        "application/json",
        json -> {
          json.beginObject().name("results").beginArray();
          for (StatementResult r : completed.results()) {
            writeResult(json, r);
          }
          json.endArray();
          json.name("servedBy").value(completed.servedBy());
          json.name("fromReplica").value(completed.fromReplica());
          json.name("replayed").value(completed.replayed());
          json.name("transaction").value(completed.transaction());
          json.endObject();
        });
  }

  /** Returns the response to a request for a new session. */
  static CallerResponse newSession(String sessionId) {
    return response(
        201,
        "application/json",
        json -> json.beginObject().name("sessionId").value(sessionId).endObject());
  }

  /** Returns the response to a health check. */
  static CallerResponse health(boolean healthy, String status) {
    return response(
        healthy ? 200 : 503,
        "application/json",
        json -> json.beginObject().name("status").value(status).endObject());
  }

  /**
   * Returns an error response in the format of RFC 9457, with {@code Retry-After} if a retry can
   * help.
   */
  static CallerResponse problem(Problem problem, String requestId) {
    CallerResponse response =
        response(
            problem.status(),
            "application/problem+json",
            json -> writeProblem(json, problem, requestId));
    if (!problem.retryAfter().isZero()) {
      response.headers().set(HttpHeaderNames.RETRY_AFTER, roundUpToSeconds(problem.retryAfter()));
    }
    return response;
  }

  private static void writeProblem(JsonWriter json, Problem problem, String requestId)
      throws IOException {
    json.beginObject();
    json.name("type").value(TYPE_BASE + problem.name());
    json.name("title").value(problem.title());
    json.name("status").value(problem.status());
    json.name("detail").value(problem.detail());
    json.name("instance").value(requestId);
    json.name("help").value(HELP_BASE + problem.name());
    json.name("outcome")
        .value(problem.outcomeKind().name().toLowerCase(Locale.ROOT).replace('_', '-'));
    if (!problem.retryAfter().isZero()) {
      json.name("retryAfterMillis").value(problem.retryAfter().toMillis());
    }
    Outcome.Rejected rejection = problem.rejection();
    if (rejection != null) {
      json.name("sqlState").value(rejection.sqlState());
      json.name("statementIndex").value(rejection.statementIndex());
    }
    if (!problem.findings().isEmpty()) {
      json.name("findings").beginArray();
      for (Finding f : problem.findings()) {
        json.beginObject().name("source").value(f.source());
        json.name("path").value(f.path()).name("message").value(f.message()).endObject();
      }
      json.endArray();
    }
    json.endObject();
  }

  private static void writeResult(JsonWriter json, StatementResult result) throws IOException {
    json.beginObject().name("columns").beginArray();
    for (String column : result.columns()) {
      json.value(column);
    }
    json.endArray().name("rows").beginArray();
    for (List<SqlValue> row : result.rows()) {
      json.beginArray();
      for (SqlValue v : row) {
        writeValue(json, v);
      }
      json.endArray();
    }
    json.endArray().name("affectedRows").value(result.affectedRows()).endObject();
  }

  private static void writeValue(JsonWriter json, SqlValue value) throws IOException {
    if (value instanceof SqlValue.Bool b) {
      json.value(b.value());
    } else if (value instanceof SqlValue.Int i) {
      json.value(i.value());
    } else if (value instanceof SqlValue.Real r) {
      writeReal(json, r.value());
    } else if (value instanceof SqlValue.Decimal d) {
      json.value(d.value().toPlainString());
    } else if (value instanceof SqlValue.Text t) {
      json.value(t.value());
    } else {
      json.nullValue();
    }
  }

  private static void writeReal(JsonWriter json, double value) throws IOException {
    if (Double.isFinite(value)) {
      json.value(value);
    } else {
      json.value(Double.toString(value));
    }
  }

  private static long roundUpToSeconds(Duration retryAfter) {
    return retryAfter.plusSeconds(1).minusNanos(1).toSeconds();
  }

  private static CallerResponse response(int status, String contentType, JsonContent content) {
    StringWriter text = new StringWriter();
    try (JsonWriter json = new JsonWriter(text)) {
      json.setSerializeNulls(true);
      json.setHtmlSafe(false);
      content.writeTo(json);
    } catch (IOException e) {
      throw new UncheckedIOException("unexpected I/O error while writing JSON to a string", e);
    }
    HttpHeaders headers = DefaultHttpHeadersFactory.headersFactory().newHeaders();
    headers.set(HttpHeaderNames.CONTENT_TYPE, contentType);
    headers.set(HttpHeaderNames.CACHE_CONTROL, "no-store");
    return new CallerResponse(status, headers, text.toString());
  }
}
