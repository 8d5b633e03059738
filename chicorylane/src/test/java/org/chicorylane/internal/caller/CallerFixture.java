package org.chicorylane.internal.caller;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;
import org.chicorylane.internal.declaration.Declarations;
import org.chicorylane.internal.declaration.ReadClass;
import org.chicorylane.internal.declaration.RequestClass;
import org.chicorylane.internal.session.SessionKey;
import org.chicorylane.internal.session.SessionTokenCodec;

/** A server on a free port, with a fake service. */
final class CallerFixture implements AutoCloseable {
  static final Declarations DECLARATIONS =
      new Declarations(
          1,
          Map.of(),
          Map.of("lookup", new ReadClass("lookup", Duration.ofSeconds(2))),
          Map.of(
              "lookups", new RequestClass("lookups", 1, 0, true, false),
              "billing", new RequestClass("billing", 5, 1, false, true)),
          Map.of());
  static final SessionTokenCodec TOKENS =
      new SessionTokenCodec(
          List.of(new SessionKey("k1", new byte[SessionKey.MINIMUM_SECRET_BYTES])), 4_096);
  private static final int SOCKET_TIMEOUT_MILLIS = 10_000;

  final FakeGroupService service = new FakeGroupService();
  final MetricRegistry metrics = new MetricRegistry();
  final CallerServer server;

  CallerFixture(CallerLimits limits) {
    this(limits, builder -> builder);
  }

  CallerFixture(CallerLimits limits, UnaryOperator<CallerServer.Builder> change) {
    server =
        change
            .apply(
                CallerServer.builder()
                    .service(service)
                    .declarations(() -> DECLARATIONS)
                    .tokens(TOKENS)
                    .limits(limits)
                    .metrics(metrics)
                    .threads(2))
            .start();
  }

  /** Returns limits with no drain notice, a short idle time during a drain and long timeouts. */
  static CallerLimits limits() {
    return limits(Duration.ofSeconds(30), Duration.ofSeconds(30));
  }

  /** Returns limits with the given timeouts and a long keep-alive timeout. */
  static CallerLimits limits(Duration receiveTimeout, Duration deadline) {
    TimeLimits times =
        new TimeLimits(
            deadline,
            deadline,
            Duration.ZERO,
            receiveTimeout,
            receiveTimeout,
            Duration.ofSeconds(30),
            Duration.ofSeconds(30),
            Duration.ofSeconds(30),
            Duration.ZERO,
            Duration.ofSeconds(30),
            Duration.ofMillis(100));
    return withTimes(times);
  }

  /** Returns the default test limits with other timeouts. */
  static CallerLimits withTimes(TimeLimits times) {
    return new CallerLimits(
        new SizeLimits(2_048, 10_000, 3, 4, 20), new LoadLimits(50, 20, 10, 4, 100_000), times);
  }

  /** Returns the default test limits with other load limits. */
  static CallerLimits withLoad(LoadLimits load) {
    return new CallerLimits(limits().sizes(), load, limits().times());
  }

  HttpRequest.Builder request(String path) {
    return HttpRequest.newBuilder(
            URI.create("http://127.0.0.1:" + server.address().getPort() + path))
        .header("Content-Type", "application/json");
  }

  HttpRequest.Builder post(String path, String body) {
    return request(path).POST(HttpRequest.BodyPublishers.ofString(body));
  }

  HttpRequest read(String sql) {
    return post("/v1/groups/ledger/read", statement(sql)).build();
  }

  static String statement(String sql) {
    return "{\"statements\":[{\"sql\":\"" + sql + "\"}]}";
  }

  static HttpClient client(HttpClient.Version version) {
    return HttpClient.newBuilder().version(version).build();
  }

  /** Opens a connection and sends a text on it. */
  Socket send(String text) throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.address().getPort());
    socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
    return socket;
  }

  /** Returns all text that the server sends before it closes the connection. */
  static String readAll(Socket socket) throws IOException {
    return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
  }

  /** Returns the text of an HTTP/1.1 read request that runs {@code sql}. */
  static String rawRead(String sql, String headers) {
    String body = statement(sql);
    return "POST /v1/groups/ledger/read HTTP/1.1\r\nHost: x\r\n"
        + headers
        + "Content-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  @Override
  public void close() {
    server.close();
  }
}
