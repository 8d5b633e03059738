package org.chicorylane.internal.caller;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpClient;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Tests the drain of the server. Guards against requests that are aborted or remain unanswered
 * because the server stops while they are in flight.
 */
final class CallerDrainFunctionalTest {
  private static final long TIMEOUT_SECONDS = 10;
  private static final Duration LONG = Duration.ofSeconds(30);
  private static final Duration SECOND = Duration.ofSeconds(1);
  private static final Duration SHORT = Duration.ofMillis(100);
  private static final String READ = CallerFixture.statement("S");

  @Test
  void testDrainCompletesRequestsInFlight() throws Exception {
    for (HttpClient.Version version : HttpClient.Version.values()) {
      try (CallerFixture fixture = new CallerFixture(drainLimits(Duration.ZERO, LONG, SECOND))) {
        HttpClient client = CallerFixture.client(version);
        List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
        List<FakeGroupService.Pending> pending = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
          responses.add(client.sendAsync(fixture.read("SELECT " + i), BodyHandlers.ofString()));
          pending.add(fixture.service.next());
        }

        final CompletableFuture<Void> drained = fixture.server.drain();
        awaitConnectionsRefused(fixture);
        assertThat(drained.isDone()).isFalse();
        for (FakeGroupService.Pending p : pending) {
          p.outcome().complete(FakeGroupService.echo(p.request()));
        }

        for (int i = 0; i < responses.size(); i++) {
          HttpResponse<String> response = responses.get(i).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
          assertThat(response.version()).isEqualTo(version);
          assertThat(response.body()).contains("SELECT " + i);
        }
        drained.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      }
    }
  }

  @Test
  void testLastResponseDuringDrainHasConnectionClose() throws Exception {
    try (CallerFixture fixture = new CallerFixture(CallerFixture.limits());
        Socket socket = fixture.send(CallerFixture.rawRead("S", ""))) {
      FakeGroupService.Pending pending = fixture.service.next();
      final CompletableFuture<Void> drained = fixture.server.drain();
      awaitConnectionsRefused(fixture);

      pending.outcome().complete(FakeGroupService.echo(pending.request()));

      assertThat(CallerFixture.readAll(socket)).contains("connection: close");
      socket.close();
      drained.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
  }

  @Test
  void testDrainAnswersPipelinedRequests() throws Exception {
    try (CallerFixture fixture = new CallerFixture(CallerFixture.limits());
        Socket socket =
            fixture.send(
                CallerFixture.rawRead("A", "")
                    + CallerFixture.rawRead("B", "")
                    + CallerFixture.rawRead("C", ""))) {
      FakeGroupService.Pending first = fixture.service.next();
      fixture.server.drain();
      awaitConnectionsRefused(fixture);

      first.outcome().complete(FakeGroupService.echo(first.request()));
      for (int i = 0; i < 2; i++) {
        FakeGroupService.Pending next = fixture.service.next();
        next.outcome().complete(FakeGroupService.echo(next.request()));
      }

      assertThat(CallerFixture.readAll(socket).split("HTTP/1.1 200", -1)).hasLength(4);
    }
  }

  @Test
  void testReadinessFailsBeforeConnectionsAreRefused() throws Exception {
    try (CallerFixture fixture = new CallerFixture(drainLimits(LONG, LONG, SHORT))) {
      HttpClient client = CallerFixture.client(HttpClient.Version.HTTP_1_1);
      assertThat(status(client, fixture, "/v1/health/ready")).isEqualTo(200);

      fixture.server.drain();

      assertThat(status(client, fixture, "/v1/health/ready")).isEqualTo(503);
      assertThat(status(client, fixture, "/v1/health/live")).isEqualTo(200);
    }
  }

  @Test
  void testGoAwayDoesNotAbortOpenStream() throws Exception {
    try (CallerFixture fixture =
            new CallerFixture(drainLimits(Duration.ZERO, Duration.ZERO, SHORT));
        Http2TestClient client = new Http2TestClient(fixture.server.address())) {
      CompletableFuture<Integer> response = client.post("/v1/groups/ledger/read", READ);
      FakeGroupService.Pending pending = fixture.service.next();

      final CompletableFuture<Void> drained = fixture.server.drain();
      client.goAway().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      assertThat(response.isDone()).isFalse();
      pending.outcome().complete(FakeGroupService.echo(pending.request()));

      assertThat(response.get(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEqualTo(200);
      drained.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
  }

  private static CallerLimits drainLimits(Duration notice, Duration goAwayDelay, Duration idle) {
    TimeLimits times =
        new TimeLimits(LONG, LONG, LONG, LONG, LONG, LONG, LONG, LONG, notice, goAwayDelay, idle);
    return CallerFixture.withTimes(times);
  }

  private static int status(HttpClient client, CallerFixture fixture, String path)
      throws Exception {
    return client.send(fixture.request(path).build(), BodyHandlers.ofString()).statusCode();
  }

  private static void awaitConnectionsRefused(CallerFixture fixture) {
    assertThrows(
        IOException.class,
        () -> {
          for (int i = 0; i < 10_000; i++) {
            fixture.send("").close();
          }
        });
  }
}
