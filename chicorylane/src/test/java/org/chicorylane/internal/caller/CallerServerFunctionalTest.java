package org.chicorylane.internal.caller;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.net.Socket;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.chicorylane.internal.outcome.NotRunReason;
import org.chicorylane.internal.outcome.Outcome;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.relay.GroupRequest;
import org.chicorylane.internal.relay.RequestKind;
import org.chicorylane.internal.session.SessionToken;
import org.chicorylane.internal.session.TokenReadResult;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Tests the server with a fake service over real connections. Guards against responses that reach
 * the wrong request, and against session tokens and problems with wrong content.
 */
final class CallerServerFunctionalTest {
  private static final long TIMEOUT_SECONDS = 10;

  private final CallerFixture fixture = new CallerFixture(CallerFixture.limits());
  private final HttpClient http1 = CallerFixture.client(HttpClient.Version.HTTP_1_1);
  private final HttpClient http2 = CallerFixture.client(HttpClient.Version.HTTP_2);

  @AfterEach
  void closeFixture() {
    fixture.close();
  }

  @Test
  void testAnswersOverBothProtocols() throws Exception {
    fixture.service.respondWith(FakeGroupService::echo);
    for (HttpClient client : List.of(http1, http2)) {
      HttpResponse<String> response =
          client.send(fixture.read("SELECT 1"), BodyHandlers.ofString());
      assertThat(response.version()).isEqualTo(client.version());
      assertThat(response.statusCode()).isEqualTo(200);
      assertThat(response.body())
          .isEqualTo(
              "{\"results\":[{\"columns\":[\"text\"],\"rows\":[[\"SELECT 1\"]],"
                  + "\"affectedRows\":1}],\"servedBy\":\"s1\",\"fromReplica\":false,"
                  + "\"replayed\":false,\"transaction\":null}");
    }
  }

  @Test
  void testWriteAdvancesPositionInSessionToken() throws Exception {
    HttpResponse<String> session =
        http1.send(fixture.post("/v1/sessions", "").build(), BodyHandlers.ofString());
    String fresh = session.headers().firstValue("Chicorylane-Session").orElseThrow();
    assertThat(session.statusCode()).isEqualTo(201);
    fixture.service.respondWith(r -> FakeGroupService.completed("x", new LogPosition(3, 9)));

    HttpRequest write =
        fixture
            .post(
                "/v1/groups/ledger/write",
                "{\"statements\":[{\"sql\":\"UPDATE\"}],\"requestClass\":\"billing\"}")
            .header("Chicorylane-Session", fresh)
            .header("Idempotency-Key", "\"renewal-7\"")
            .build();
    HttpResponse<String> response = http1.send(write, BodyHandlers.ofString());

    assertThat(response.statusCode()).isEqualTo(200);
    SessionToken token = tokenOf(response);
    assertThat(token.floor("ledger")).hasValue(new LogPosition(3, 9));
    assertThat(token.sessionId()).isEqualTo(valid(fresh).sessionId());
  }

  @Test
  void testTransactionRequestsCarryTheirHandle() throws Exception {
    List<GroupRequest> seen = Collections.synchronizedList(new ArrayList<>());
    fixture.service.respondWith(
        request -> {
          seen.add(request);
          return new Outcome.Completed(List.of(), null, false, "s1", false, "t 1");
        });
    String path = "/v1/groups/ledger/transactions";

    http1.send(fixture.post(path, "").build(), BodyHandlers.ofString());
    http1.send(
        fixture.post(path + "/t%201/statements", CallerFixture.statement("S")).build(),
        BodyHandlers.ofString());
    http1.send(fixture.post(path + "/t%201/commit", "").build(), BodyHandlers.ofString());
    http1.send(fixture.request(path + "/t%201").DELETE().build(), BodyHandlers.ofString());

    assertThat(seen.stream().map(GroupRequest::kind).toList())
        .containsExactly(
            RequestKind.BEGIN, RequestKind.CONTINUE, RequestKind.COMMIT, RequestKind.ROLLBACK)
        .inOrder();
    assertThat(seen.stream().skip(1).map(GroupRequest::transaction).distinct().toList())
        .containsExactly("t 1");
  }

  @Test
  void testLostSessionHistoryRemovesGroupFromToken() throws Exception {
    SessionToken before =
        SessionToken.fresh("s")
            .advance("ledger", new LogPosition(1, 5))
            .advance("b", new LogPosition(1, 6));
    fixture.service.respondWith(
        r -> new Outcome.NotRun(NotRunReason.SESSION_HISTORY_LOST, Duration.ZERO, "lost"));

    HttpRequest read =
        fixture
            .post("/v1/groups/ledger/read", CallerFixture.statement("S"))
            .header("Chicorylane-Session", CallerFixture.TOKENS.write(before))
            .build();
    HttpResponse<String> response = http2.send(read, BodyHandlers.ofString());

    assertThat(response.statusCode()).isEqualTo(409);
    assertThat(tokenOf(response)).isEqualTo(before.without("ledger"));
  }

  @Test
  void testProblemContainsOutcomeAndRetryAfter() throws Exception {
    fixture.service.respondWith(
        r -> new Outcome.NotRun(NotRunReason.OVERLOADED, Duration.ofMillis(1_200), "queue full"));

    HttpResponse<String> response =
        http1.send(
            fixture
                .post("/v1/groups/ledger/read", CallerFixture.statement("S"))
                .header("Chicorylane-Request-Id", "gate-7")
                .build(),
            BodyHandlers.ofString());

    assertThat(response.statusCode()).isEqualTo(503);
    assertThat(response.headers().firstValue("Retry-After")).hasValue("2");
    assertThat(response.headers().firstValue("Chicorylane-Request-Id")).hasValue("gate-7");
    JsonObject problem = JsonParser.parseString(response.body()).getAsJsonObject();
    assertThat(problem.get("type").getAsString())
        .isEqualTo("https://chicorylane.example/problems/overloaded");
    assertThat(problem.get("outcome").getAsString()).isEqualTo("not-run");
    assertThat(problem.get("retryAfterMillis").getAsLong()).isEqualTo(1_200);
    assertThat(problem.get("instance").getAsString()).startsWith("gate-7.");
  }

  @Test
  void testOutOfOrderResponsesReachTheirStreams() throws Exception {
    http2.send(fixture.request("/v1/health/live").build(), BodyHandlers.ofString());
    List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      responses.add(http2.sendAsync(fixture.read("SELECT " + i), BodyHandlers.ofString()));
    }
    List<FakeGroupService.Pending> pending = new ArrayList<>();
    for (int i = 0; i < responses.size(); i++) {
      pending.add(fixture.service.next());
    }
    Collections.shuffle(pending, new Random(5));
    for (FakeGroupService.Pending p : pending) {
      p.outcome().complete(FakeGroupService.echo(p.request()));
    }

    for (int i = 0; i < responses.size(); i++) {
      HttpResponse<String> response = responses.get(i).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      assertWithMessage("response %s", i)
          .that(response.body())
          .contains("[[\"SELECT " + i + "\"]]");
    }
  }

  @Test
  void testPipelinedRequestsAreAnsweredInOrder() throws Exception {
    fixture.service.respondWith(FakeGroupService::echo);
    StringBuilder pipelined = new StringBuilder();
    for (int i = 0; i < 10; i++) {
      pipelined.append(CallerFixture.rawRead("SELECT " + i, i == 9 ? "Connection: close\r\n" : ""));
    }
    try (Socket socket = fixture.send(pipelined.toString())) {
      String responses = CallerFixture.readAll(socket);
      int from = 0;
      for (int i = 0; i < 10; i++) {
        int found = responses.indexOf("[[\"SELECT " + i + "\"]]", from);
        assertWithMessage("response %s", i).that(found).isAtLeast(from);
        from = found;
      }
    }
  }

  @Test
  void testMissedDeadlineIsReportedAsUnknown() throws Exception {
    HttpRequest read =
        fixture
            .post("/v1/groups/ledger/write", CallerFixture.statement("S"))
            .header("Chicorylane-Deadline-Millis", "20")
            .build();
    HttpResponse<String> response = http1.send(read, BodyHandlers.ofString());

    assertThat(response.statusCode()).isEqualTo(502);
    assertThat(response.body()).contains("\"outcome\":\"unknown\"");
    fixture.service.next().outcome().complete(FakeGroupService.completed("late", null));
    assertThat(fixture.metrics.meter("callers.late").getCount()).isEqualTo(1);
  }

  @Test
  void testAddressInUseIsReportedInException() {
    IllegalStateException thrown =
        assertThrows(
            IllegalStateException.class,
            () ->
                new CallerFixture(
                    CallerFixture.limits(), b -> b.address(fixture.server.address())));

    assertThat(thrown).hasMessageThat().contains(fixture.server.address().toString());
  }

  private static SessionToken tokenOf(HttpResponse<String> response) {
    return valid(response.headers().firstValue("Chicorylane-Session").orElseThrow());
  }

  private static SessionToken valid(String text) {
    return ((TokenReadResult.Valid) CallerFixture.TOKENS.read(text)).token();
  }
}
