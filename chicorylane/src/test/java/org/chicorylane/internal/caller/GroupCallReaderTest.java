package org.chicorylane.internal.caller;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.protobuf.ByteString;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.chicorylane.internal.finding.Finding;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.relay.GroupRequest;
import org.chicorylane.internal.relay.RequestKind;
import org.chicorylane.internal.session.SessionToken;
import org.junit.jupiter.api.Test;

/**
 * Tests the validation of requests to a database group: session token, deadline, read class and
 * request class. Guards against requests that run with a wrong floor or deadline, and against
 * mistakes that are reported only partly.
 */
final class GroupCallReaderTest {
  private static final Instant NOW = Instant.EPOCH;
  private static final String STATEMENTS = "\"statements\":[{\"sql\":\"S\"}]";

  /** A header field, and the resulting time until the deadline, in seconds. */
  private record Wait(String name, String value, long seconds) {}

  private final GroupCallReader reader =
      new GroupCallReader(
          CallerFixture.limits(Duration.ofSeconds(1), Duration.ofSeconds(30)),
          CallerFixture.TOKENS);

  @Test
  void testTakesFloorFromTokenAndAgeFromReadClass() {
    SessionToken token = SessionToken.fresh("s").advance("ledger", new LogPosition(2, 8));
    HttpHeaders headers =
        new DefaultHttpHeaders().set(HeaderNames.SESSION, CallerFixture.TOKENS.write(token));

    GroupRequest request =
        accepted(RequestKind.READ, "{" + STATEMENTS + ",\"readClass\":\"lookup\"}", headers);

    assertThat(request.sessionId()).isEqualTo("s");
    assertThat(request.floor()).isEqualTo(new LogPosition(2, 8));
    assertThat(request.maximumAge()).isEqualTo(Duration.ofSeconds(2));
    assertThat(request.repeatable()).isTrue();
  }

  @Test
  void testReportsMistakesInBodyHeadersAndClassesTogether() {
    HttpHeaders headers = new DefaultHttpHeaders().set(HeaderNames.DEADLINE_MILLIS, "soon");
    String body = "{" + STATEMENTS + ",\"requestClass\":\"billing\",\"repeatable\":true}";

    List<Finding> findings = rejected(RequestKind.WRITE, body, headers).findings();

    assertThat(findings.stream().map(Finding::path).toList())
        .containsExactly("idempotency-key", "chicorylane-deadline-millis", "$.repeatable");
  }

  @Test
  void testReportsNamesOfUndeclaredClasses() {
    Problem problem =
        rejected(
            RequestKind.READ,
            "{" + STATEMENTS + ",\"readClass\":\"fresh\",\"requestClass\":\"x\"}",
            new DefaultHttpHeaders());

    assertThat(problem.findings())
        .containsExactly(
            new Finding("body", "$.readClass", "no read class \"fresh\" is declared"),
            new Finding("body", "$.requestClass", "no request class \"x\" is declared"));
  }

  @Test
  void testRejectsMalformedAndForgedTokens() {
    HttpHeaders malformed = new DefaultHttpHeaders().set(HeaderNames.SESSION, "%%%");
    HttpHeaders forged = new DefaultHttpHeaders().set(HeaderNames.SESSION, "CgJrMQ");

    assertThat(rejected(RequestKind.READ, "{" + STATEMENTS + "}", malformed).name())
        .isEqualTo("session-token-malformed");
    assertThat(rejected(RequestKind.READ, "{" + STATEMENTS + "}", forged).name())
        .isEqualTo("session-token-forged");
  }

  @Test
  void testTakesDeadlineFromHeaderUpToMaximum() {
    for (Wait wait :
        List.of(
            new Wait("prefer", "respond-async, wait=7", 7),
            new Wait("prefer", "wait=7000", 30),
            new Wait("prefer", "handling=lenient", 30),
            new Wait("chicorylane-deadline-millis", "2000", 2))) {
      HttpHeaders headers = new DefaultHttpHeaders().set(wait.name(), wait.value());
      GroupRequest request = accepted(RequestKind.READ, "{" + STATEMENTS + "}", headers);
      assertWithMessage(wait.value())
          .that(request.deadline())
          .isEqualTo(NOW.plusSeconds(wait.seconds()));
    }
  }

  private GroupRequest accepted(RequestKind kind, String body, HttpHeaders headers) {
    return ((GroupCall.Accepted) read(kind, body, headers)).request();
  }

  private Problem rejected(RequestKind kind, String body, HttpHeaders headers) {
    return ((GroupCall.Rejected) read(kind, body, headers)).problem();
  }

  private GroupCall read(RequestKind kind, String body, HttpHeaders headers) {
    return reader.read(
        new Route.Group("ledger", kind, null),
        new ReceivedRequest.Complete("POST", "/", headers, ByteString.copyFromUtf8(body), true),
        "r",
        CallerFixture.DECLARATIONS,
        NOW);
  }
}
