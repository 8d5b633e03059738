package org.chicorylane.internal.caller;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.US_ASCII;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.http.HttpClient;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;

/**
 * Tests callers that send invalid, oversized or incomplete requests, send or read too slowly, or
 * disconnect. Each of them must receive an error or be disconnected, without effect on others.
 */
final class CallerFaultsFunctionalTest {
  private static final Duration SHORT = Duration.ofMillis(100);
  private static final Duration LONG = Duration.ofSeconds(30);
  private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(10);

  /** Text that a caller sends, and the HTTP status that it receives. */
  private record Fault(String name, String sent, int status) {}

  private static final List<Fault> INVALID_REQUESTS =
      List.of(
          new Fault("not HTTP", "GARBAGE\r\n\r\n", 400),
          new Fault("missing host", "GET /v1/health/live HTTP/1.1\r\n\r\n", 400),
          new Fault("long line", "GET /" + "x".repeat(3_000) + " HTTP/1.1\r\n\r\n", 414),
          new Fault("long header", post("X: " + "x".repeat(3_000) + "\r\n", ""), 431),
          new Fault("many headers", post("X: 0123456789\r\n".repeat(200), ""), 431),
          new Fault("declared too large", post("Content-Length: 10001\r\n", ""), 413),
          new Fault(
              "chunked too large",
              post(
                  "Transfer-Encoding: chunked\r\n",
                  ("800\r\n" + "x".repeat(2_048) + "\r\n").repeat(6)),
              413),
          new Fault("negative length", post("Content-Length: -1\r\n", ""), 400),
          new Fault("length is not a number", post("Content-Length: many\r\n", ""), 400),
          new Fault("broken chunk", post("Transfer-Encoding: chunked\r\n", "zz\r\n"), 400),
          new Fault(
              "unsupported expectation",
              post("Expect: wonders\r\nContent-Length: 1\r\n", ""),
              417));

  private static final List<Fault> SLOW_REQUESTS =
      List.of(
          new Fault("half a request line", "POST /v1/gr", 408),
          new Fault("half a header", "POST /v1/groups/a/read HTTP/1.1\r\nHos", 408),
          new Fault("half a body", post("Content-Length: 50\r\n", "{\"statements\""), 408),
          new Fault("half a chunk", post("Transfer-Encoding: chunked\r\n", "20\r\n{"), 408));

  @Test
  void testInvalidRequestsAreRejectedAndConnectionIsClosed() throws Exception {
    try (CallerFixture fixture = new CallerFixture(CallerFixture.limits())) {
      assertRejected(fixture, INVALID_REQUESTS);
    }
  }

  @Test
  void testSlowRequestsAreRejectedAndConnectionIsClosed() throws Exception {
    try (CallerFixture fixture = new CallerFixture(CallerFixture.limits(SHORT, LONG))) {
      assertRejected(fixture, SLOW_REQUESTS);
    }
  }

  @Test
  void testIdleConnectionIsClosedWithoutResponse() throws Exception {
    TimeLimits times =
        new TimeLimits(LONG, LONG, LONG, LONG, LONG, SHORT, LONG, LONG, LONG, LONG, SHORT);
    try (CallerFixture fixture = new CallerFixture(CallerFixture.withTimes(times));
        Socket socket = fixture.send("")) {
      assertThat(CallerFixture.readAll(socket)).isEmpty();
    }
  }

  @Test
  void testHttp2ConnectionIsClosedAfterUnansweredPing() throws Exception {
    TimeLimits shortPingInterval =
        new TimeLimits(LONG, LONG, LONG, LONG, LONG, LONG, SHORT, LONG, LONG, LONG, SHORT);
    try (CallerFixture fixture = new CallerFixture(CallerFixture.withTimes(shortPingInterval));
        Socket socket = fixture.send("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\4\0\0\0\0\0")) {
      assertThat(CallerFixture.readAll(socket)).isNotEmpty();
      assertThat(fixture.metrics.meter("callers.timed-out").getCount()).isEqualTo(1);
    }
  }

  @Test
  void testConnectionIsClosedWhenCallerReadsTooSlowly() throws Exception {
    TimeLimits shortWriteTimeout =
        new TimeLimits(LONG, LONG, LONG, LONG, LONG, LONG, LONG, SHORT, LONG, LONG, SHORT);
    try (CallerFixture fixture = new CallerFixture(CallerFixture.withTimes(shortWriteTimeout));
        Socket socket = new Socket()) {
      String large = "x".repeat(32 * 1024 * 1024);
      fixture.service.respondWith(r -> FakeGroupService.completed(large, null));
      socket.setReceiveBufferSize(4_096);
      socket.connect(
          new InetSocketAddress(
              InetAddress.getLoopbackAddress(), fixture.server.address().getPort()));
      socket.getOutputStream().write(CallerFixture.rawRead("S", "").getBytes(US_ASCII));

      await(() -> fixture.metrics.meter("callers.timed-out").getCount() == 1);
      await(() -> fixture.metrics.counter("callers.connections").getCount() == 0);
    }
  }

  @Test
  void testInvalidStreamsAreRejectedWithoutClosingConnection() throws Exception {
    try (CallerFixture fixture = new CallerFixture(CallerFixture.limits(SHORT, LONG));
        Http2TestClient client = new Http2TestClient(fixture.server.address())) {
      fixture.service.respondWith(FakeGroupService::echo);
      String path = "/v1/groups/ledger/read";

      assertThat(client.open(path).get(10, TimeUnit.SECONDS)).isEqualTo(408);
      assertThat(client.post(path, "x".repeat(10_001)).get(10, TimeUnit.SECONDS)).isEqualTo(413);
      assertThat(client.post(path, "{").get(10, TimeUnit.SECONDS)).isEqualTo(400);
      assertThat(client.post(path, CallerFixture.statement("S")).get(10, TimeUnit.SECONDS))
          .isEqualTo(200);
    }
  }

  @Test
  void testOutcomeForClosedConnectionIsDroppedAndCounted() throws Exception {
    try (CallerFixture fixture = new CallerFixture(CallerFixture.limits())) {
      Socket socket = fixture.send(CallerFixture.rawRead("S", ""));
      FakeGroupService.Pending pending = fixture.service.next();
      socket.close();
      await(() -> fixture.metrics.counter("callers.connections").getCount() == 0);

      pending.outcome().complete(FakeGroupService.completed("x", null));

      await(() -> fixture.metrics.meter("callers.late").getCount() == 1);
    }
  }

  @Test
  void testRequestsAboveTheLimitAreNotRun() throws Exception {
    LoadLimits one = new LoadLimits(50, 1, 10, 4, 100_000);
    try (CallerFixture fixture = new CallerFixture(CallerFixture.withLoad(one))) {
      HttpClient client = CallerFixture.client(HttpClient.Version.HTTP_1_1);
      CompletableFuture<HttpResponse<String>> first =
          client.sendAsync(fixture.read("S"), BodyHandlers.ofString());
      FakeGroupService.Pending pending = fixture.service.next();

      HttpResponse<String> second = client.send(fixture.read("S"), BodyHandlers.ofString());

      assertThat(second.statusCode()).isEqualTo(503);
      assertThat(second.body()).contains("\"outcome\":\"not-run\"");
      assertThat(second.headers().firstValue("Retry-After")).hasValue("1");
      assertThat(fixture.service.isIdle()).isTrue();
      pending.outcome().complete(FakeGroupService.completed("x", null));
      assertThat(first.get(10, TimeUnit.SECONDS).statusCode()).isEqualTo(200);
    }
  }

  @Test
  void testConnectionsAboveTheLimitAreClosed() throws Exception {
    LoadLimits one = new LoadLimits(1, 10, 10, 4, 100_000);
    try (CallerFixture fixture = new CallerFixture(CallerFixture.withLoad(one));
        Socket first = fixture.send("");
        Socket second = fixture.send("")) {
      assertThat(first.isConnected()).isTrue();
      assertThat(second.getInputStream().read()).isEqualTo(-1);
    }
  }

  @Test
  void testBodiesAboveTheBufferLimitAreNotRunAndReleaseTheirBytes() throws Exception {
    LoadLimits small = new LoadLimits(50, 10, 10, 4, 150);
    try (CallerFixture fixture = new CallerFixture(CallerFixture.withLoad(small))) {
      fixture.service.respondWith(FakeGroupService::echo);
      String body = CallerFixture.statement("x".repeat(150));
      Fault overBudget =
          new Fault("large", post("Content-Length: " + body.length() + "\r\n", body), 503);
      assertRejected(fixture, List.of(overBudget, overBudget));

      HttpClient client = CallerFixture.client(HttpClient.Version.HTTP_1_1);
      for (int i = 0; i < 10; i++) {
        HttpResponse<String> response =
            client.send(fixture.read("x".repeat(50)), BodyHandlers.ofString());
        assertThat(response.statusCode()).isEqualTo(200);
      }
    }
  }

  @Test
  void testUpgradeAfterUnansweredRequestIsServedInOrder() throws Exception {
    try (CallerFixture fixture = new CallerFixture(CallerFixture.limits());
        Socket socket =
            fixture.send(
                CallerFixture.rawRead("FIRST", "")
                    + CallerFixture.rawRead(
                        "SECOND",
                        String.join(
                            "\r\n",
                            "Connection: Upgrade, HTTP2-Settings, close",
                            "Upgrade: h2c",
                            "HTTP2-Settings: AAMAAABk",
                            "")))) {
      for (int i = 0; i < 2; i++) {
        FakeGroupService.Pending pending = fixture.service.next();
        pending.outcome().complete(FakeGroupService.echo(pending.request()));
      }

      String responses = CallerFixture.readAll(socket);

      assertThat(responses.indexOf("[[\"FIRST\"]]")).isGreaterThan(0);
      assertThat(responses.indexOf("[[\"SECOND\"]]")).isGreaterThan(responses.indexOf("FIRST"));
    }
  }

  @Test
  void testServiceExceptionIsReportedAsUnknown() throws Exception {
    try (CallerFixture fixture = new CallerFixture(CallerFixture.limits())) {
      fixture.service.respondWith(
          r -> {
            throw new IllegalStateException("simulated failure");
          });
      HttpResponse<String> response =
          CallerFixture.client(HttpClient.Version.HTTP_1_1)
              .send(fixture.read("S"), BodyHandlers.ofString());

      assertThat(response.statusCode()).isEqualTo(502);
      assertThat(response.body()).contains("\"outcome\":\"unknown\"");
    }
  }

  private static void assertRejected(CallerFixture fixture, List<Fault> faults) throws Exception {
    for (Fault fault : faults) {
      try (Socket socket = fixture.send(fault.sent())) {
        String response = CallerFixture.readAll(socket);
        assertWithMessage(fault.name()).that(response).startsWith("HTTP/1.1 " + fault.status());
        assertWithMessage(fault.name()).that(response).contains("\"outcome\":\"not-run\"");
      }
    }
    assertThat(fixture.service.isIdle()).isTrue();
  }

  private static String post(String headers, String body) {
    return "POST /v1/groups/ledger/read HTTP/1.1\r\nHost: x\r\n" + headers + "\r\n" + body;
  }

  private static void await(BooleanSupplier condition) {
    long start = System.nanoTime();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() - start > TIMEOUT_NANOS) {
        throw new AssertionError("the condition did not become true before the timeout");
      }
      Thread.onSpinWait();
    }
  }
}
