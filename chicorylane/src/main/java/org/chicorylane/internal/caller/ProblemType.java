package org.chicorylane.internal.caller;

import java.util.Locale;

/**
 * What can be wrong with a request before it reaches a database group, or with its end. {@link
 * org.chicorylane.internal.outcome.NotRunReason} has the problems in between.
 */
enum ProblemType {
  /** The bytes are not HTTP. */
  MALFORMED_HTTP(400, "The request is not well-formed HTTP"),
  /** The body or a header field is wrong; the findings say what and where. */
  INVALID_REQUEST(400, "The request has mistakes"),
  /** The session token cannot be read. */
  SESSION_TOKEN_MALFORMED(400, "The session token is not well-formed"),
  /** The session token was not made by us. */
  SESSION_TOKEN_FORGED(403, "The session token is not genuine"),
  /** The session token cannot take another group. */
  SESSION_TOKEN_FULL(422, "The session token has no room for another database group"),
  /** No such path. */
  NOT_FOUND(404, "There is no such resource"),
  /** The path exists for other methods. */
  METHOD_NOT_ALLOWED(405, "The resource does not know the method"),
  /** The caller sent too slowly. */
  REQUEST_TIMEOUT(408, "The request did not arrive in time"),
  /** The body is too large. */
  BODY_TOO_LARGE(413, "The body is too large"),
  /** The request line is too long. */
  URI_TOO_LONG(414, "The request line is too long"),
  /** The body is not JSON by its own declaration. */
  UNSUPPORTED_MEDIA_TYPE(415, "The body is not declared as JSON"),
  /** The caller expects something other than {@code 100-continue}. */
  EXPECTATION_FAILED(417, "The expectation cannot be met"),
  /** The header fields are too large. */
  HEADERS_TOO_LARGE(431, "The header fields are too large"),
  /** The database refused a statement. */
  STATEMENT_REJECTED(422, "The database refused a statement"),
  /** Nobody can tell whether the request ran. */
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

  /** Returns the constant's name as it stands in URIs and anchors. */
  static String toKebabCase(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
