package org.chicorylane.internal.caller;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.chicorylane.internal.declaration.Declarations;
import org.chicorylane.internal.declaration.ReadClass;
import org.chicorylane.internal.declaration.RequestClass;
import org.chicorylane.internal.finding.Finding;
import org.chicorylane.internal.relay.GroupRequest;
import org.chicorylane.internal.relay.RequestKind;
import org.chicorylane.internal.session.SessionToken;
import org.chicorylane.internal.session.SessionTokenCodec;
import org.chicorylane.internal.session.TokenReadResult;
import org.jspecify.annotations.Nullable;

/**
 * Turns a whole HTTP request into a checked request to a database group, or into the problem that
 * names everything wrong with it.
 *
 * <pre>{@code
 * GroupCall call = reader.read(route, request, "r-1", declarations, clock.instant());
 * }</pre>
 *
 * <p>A pure function of its arguments. Immutable and thread-safe.
 */
final class GroupCallReader {
  /** The request class of a request that names none; it need not be declared. */
  static final String DEFAULT_REQUEST_CLASS = "default";

  private final CallerLimits limits;
  private final SessionTokenCodec tokens;
  private final RequestBodyReader bodies;

  GroupCallReader(CallerLimits limits, SessionTokenCodec tokens) {
    this.limits = limits;
    this.tokens = tokens;
    this.bodies = new RequestBodyReader(limits.sizes());
  }

  GroupCall read(
      Route.Group route,
      ReceivedRequest.Whole received,
      String requestId,
      Declarations declared,
      Instant now) {
    if (!received.body().isEmpty() && !RequestHeaders.mayBeJson(received.headers())) {
      return refused(ProblemType.UNSUPPORTED_MEDIA_TYPE, "expected application/json");
    }
    List<Finding> findings = new ArrayList<>();
    RequestHeaders headers = new RequestHeaders(received.headers(), findings);
    Optional<TokenReadResult> reading = headers.sessionToken().map(tokens::read);
    if (reading.isPresent() && reading.get() instanceof TokenReadResult.Malformed malformed) {
      return refused(ProblemType.SESSION_TOKEN_MALFORMED, malformed.detail());
    }
    if (reading.isPresent() && reading.get() instanceof TokenReadResult.Forged forged) {
      return refused(ProblemType.SESSION_TOKEN_FORGED, forged.detail());
    }
    Optional<SessionToken> token =
        reading.map(r -> r instanceof TokenReadResult.Valid valid ? valid.token() : null);
    GroupRequest request = check(route, received, requestId, declared, now, token, findings);
    if (!findings.isEmpty()) {
      return new GroupCall.Refused(Problem.invalid(findings));
    }
    if (token.isPresent()
        && route.kind().needsPrimary()
        && !tokens.hasRoomFor(token.get(), route.group())) {
      return refused(
          ProblemType.SESSION_TOKEN_FULL,
          "the token holds " + token.get().positions().size() + " groups; start a new session");
    }
    return new GroupCall.Ready(request, token, headers.preferredSeconds());
  }

  private GroupRequest check(
      Route.Group route,
      ReceivedRequest.Whole received,
      String requestId,
      Declarations declared,
      Instant now,
      Optional<SessionToken> token,
      List<Finding> findings) {
    RequestBody body = bodies.read(received.body(), route.kind(), findings);
    RequestHeaders headers = new RequestHeaders(received.headers(), findings);
    Optional<String> key = headers.idempotencyKey(limits.sizes().idempotencyKeyLength());
    checkRequestClass(route.kind(), body, key.isPresent(), declared, findings);
    return new GroupRequest(
        requestId,
        route.group(),
        route.kind(),
        body.statements(),
        requestClass(body),
        maximumAge(body, declared, findings),
        token.map(SessionToken::sessionId).orElse(null),
        token.flatMap(t -> t.floor(route.group())).orElse(null),
        key.filter(k -> route.kind().needsPrimary()).orElse(null),
        body.repeatable() || route.kind() == RequestKind.READ,
        route.transaction(),
        now.plus(headers.timeToWait(limits.times())));
  }

  private static String requestClass(RequestBody body) {
    return body.requestClass() == null ? DEFAULT_REQUEST_CLASS : body.requestClass();
  }

  private static @Nullable Duration maximumAge(
      RequestBody body, Declarations declared, List<Finding> findings) {
    if (body.readClass() == null) {
      return null;
    }
    ReadClass readClass = declared.readClasses().get(body.readClass());
    if (readClass == null) {
      report(findings, "$.readClass", "no read class \"" + body.readClass() + "\" is declared");
      return null;
    }
    return readClass.maximumAge();
  }

  private static void checkRequestClass(
      RequestKind kind,
      RequestBody body,
      boolean hasKey,
      Declarations declared,
      List<Finding> findings) {
    String name = requestClass(body);
    RequestClass requestClass = declared.requestClasses().get(name);
    if (requestClass == null) {
      if (body.requestClass() != null) {
        report(findings, "$.requestClass", "no request class \"" + name + "\" is declared");
      }
      return;
    }
    if (body.repeatable() && !requestClass.repeatable()) {
      report(findings, "$.repeatable", "requests of the class \"" + name + "\" are not repeatable");
    }
    boolean opensWork = kind == RequestKind.WRITE || kind == RequestKind.BEGIN;
    if (opensWork && requestClass.keyRequired() && !hasKey) {
      findings.add(
          new Finding(
              RequestHeaders.SOURCE,
              HeaderNames.IDEMPOTENCY_KEY.toString(),
              "the request class \"" + name + "\" needs an idempotency key"));
    }
  }

  private static void report(List<Finding> findings, String path, String message) {
    findings.add(new Finding(RequestBodyReader.SOURCE, path, message));
  }

  private static GroupCall refused(ProblemType type, String detail) {
    return new GroupCall.Refused(Problem.of(type, detail));
  }
}
