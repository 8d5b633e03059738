package org.chicorylane.internal.caller;

import java.util.Locale;

/**
 * Errors that are detected before a request reaches a database group, or that concern its outcome.
 * {@link org.chicorylane.internal.outcome.NotRunReason} lists the reasons why a request was not run
 * after it passed these checks.
 */
enum ProblemType {
  /** The received bytes are not valid HTTP. */
  MALFORMED_HTTP(400, "The request is not well-formed HTTP"),
  /** The body or a header field is invalid; the findings contain the details. */
  INVALID_REQUEST(400, "The request has mistakes"),
  /** The session token cannot be decoded. */
  SESSION_TOKEN_MALFORMED(400, "The session token is not well-formed"),
  /** The session token was not issued by this system. */
  SESSION_TOKEN_FORGED(403, "The session token is not genuine"),
  /** The session token has no room for another database group. */
  SESSION_TOKEN_FULL(422, "The session token has no room for another database group"),
  /** The path does not exist. */
  NOT_FOUND(404, "There is no such resource"),
  /** The path exists, but does not support the method. */
  METHOD_NOT_ALLOWED(405, "The resource does not know the method"),
  /** The caller sent too slowly. */
  REQUEST_TIMEOUT(408, "The request did not arrive in time"),
  /** The body is too large. */
  BODY_TOO_LARGE(413, "The body is too large"),
  /** The request line is too long. */
  URI_TOO_LONG(414, "The request line is too long"),
  /** The declared content type of the body is not JSON. */
  UNSUPPORTED_MEDIA_TYPE(415, "The body is not declared as JSON"),
  /** The caller expects something other than {@code 100-continue}. */
  EXPECTATION_FAILED(417, "The expectation cannot be met"),
  /** The header fields are too large. */
  HEADERS_TOO_LARGE(431, "The header fields are too large"),
  /** The database rejected a statement. */
  STATEMENT_REJECTED(422, "The database refused a statement"),
  /** It is unknown whether the request ran. */
  OUTCOME_UNKNOWN(502, "Whether the request ran is not known"),
  /** This instance has too many requests in flight. */
  INSTANCE_OVERLOADED(503, "The instance has too many requests in flight");

  private final int httpStatus;
  private final String title;

  ProblemType(int httpStatus, String title) {
    this.httpStatus = httpStatus;
    this.title = title;
  }

  int httpStatus() {
    return httpStatus;
  }

  String title() {
    return title;
  }

  /** Returns the name of an enum constant in kebab case, as used in URIs and anchors. */
  static String toKebabCase(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
