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
 * Converts a complete HTTP request into a validated request to a database group. An invalid request
 * results in a problem; mistakes in the body and the header fields are reported together.
 *
 * <pre>{@code
 * GroupCall call = reader.read(route, request, "r-1", declarations, clock.instant());
 * }</pre>
 *
 * <p>The result depends only on the arguments. Immutable and thread-safe.
 */
final class GroupCallReader {
  /** The request class of a request that specifies none; it does not have to be declared. */
  static final String DEFAULT_REQUEST_CLASS = "default";

  private final CallerLimits limits;
  private final SessionTokenCodec tokenCodec;
  private final RequestBodyReader bodyReader;

  GroupCallReader(CallerLimits limits, SessionTokenCodec tokenCodec) {
    this.limits = limits;
    this.tokenCodec = tokenCodec;
    this.bodyReader = new RequestBodyReader(limits.sizes());
  }

  GroupCall read(
      Route.Group route,
      ReceivedRequest.Complete received,
      String requestId,
      Declarations declarations,
      Instant now) {
    if (!received.body().isEmpty() && !RequestHeaders.mayBeJson(received.headers())) {
      return rejected(ProblemType.UNSUPPORTED_MEDIA_TYPE, "expected application/json");
    }
    List<Finding> findings = new ArrayList<>();
    RequestHeaders headers = new RequestHeaders(received.headers(), findings);
    Optional<TokenReadResult> tokenResult = headers.sessionToken().map(tokenCodec::read);
    if (tokenResult.isPresent()
        && tokenResult.get() instanceof TokenReadResult.Malformed malformed) {
      return rejected(ProblemType.SESSION_TOKEN_MALFORMED, malformed.detail());
    }
    if (tokenResult.isPresent() && tokenResult.get() instanceof TokenReadResult.Forged forged) {
      return rejected(ProblemType.SESSION_TOKEN_FORGED, forged.detail());
    }
    Optional<SessionToken> token =
        tokenResult.map(r -> r instanceof TokenReadResult.Valid valid ? valid.token() : null);
    GroupRequest request =
        buildRequest(route, received, requestId, declarations, now, token, findings);
    if (!findings.isEmpty()) {
      return new GroupCall.Rejected(Problem.invalid(findings));
    }
    if (token.isPresent()
        && route.kind().needsPrimary()
        && !tokenCodec.hasRoomFor(token.get(), route.group())) {
      return rejected(
          ProblemType.SESSION_TOKEN_FULL,
          "the token holds " + token.get().positions().size() + " groups; start a new session");
    }
    return new GroupCall.Accepted(request, token, headers.preferredSeconds());
  }

  private GroupRequest buildRequest(
      Route.Group route,
      ReceivedRequest.Complete received,
      String requestId,
      Declarations declarations,
      Instant now,
      Optional<SessionToken> token,
      List<Finding> findings) {
    RequestBody body = bodyReader.read(received.body(), route.kind(), findings);
    RequestHeaders headers = new RequestHeaders(received.headers(), findings);
    Optional<String> key = headers.idempotencyKey(limits.sizes().idempotencyKeyLength());
    checkRequestClass(route.kind(), body, key.isPresent(), declarations, findings);
    return new GroupRequest(
        requestId,
        route.group(),
        route.kind(),
        body.statements(),
        requestClass(body),
        maximumAge(body, declarations, findings),
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
      RequestBody body, Declarations declarations, List<Finding> findings) {
    if (body.readClass() == null) {
      return null;
    }
    ReadClass readClass = declarations.readClasses().get(body.readClass());
    if (readClass == null) {
      addBodyFinding(
          findings, "$.readClass", "no read class \"" + body.readClass() + "\" is declared");
      return null;
    }
    return readClass.maximumAge();
  }

  private static void checkRequestClass(
      RequestKind kind,
      RequestBody body,
      boolean hasKey,
      Declarations declarations,
      List<Finding> findings) {
    String name = requestClass(body);
    RequestClass requestClass = declarations.requestClasses().get(name);
    if (requestClass == null) {
      if (body.requestClass() != null) {
        addBodyFinding(findings, "$.requestClass", "no request class \"" + name + "\" is declared");
      }
      return;
    }
    if (body.repeatable() && !requestClass.repeatable()) {
      addBodyFinding(
          findings, "$.repeatable", "requests of the class \"" + name + "\" are not repeatable");
    }
    boolean startsWork = kind == RequestKind.WRITE || kind == RequestKind.BEGIN;
    if (startsWork && requestClass.keyRequired() && !hasKey) {
      findings.add(
          new Finding(
              RequestHeaders.SOURCE,
              HeaderNames.IDEMPOTENCY_KEY.toString(),
              "the request class \"" + name + "\" needs an idempotency key"));
    }
  }

  private static void addBodyFinding(List<Finding> findings, String path, String message) {
    findings.add(new Finding(RequestBodyReader.SOURCE, path, message));
  }

  private static GroupCall rejected(ProblemType type, String detail) {
    return new GroupCall.Rejected(Problem.of(type, detail));
  }
}
