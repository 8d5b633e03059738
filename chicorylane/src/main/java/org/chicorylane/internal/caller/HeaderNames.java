package org.chicorylane.internal.caller;

import io.netty.util.AsciiString;

/** Names of the header fields for which Netty has no constant. */
final class HeaderNames {
  static final AsciiString SESSION = AsciiString.cached("chicorylane-session");
  static final AsciiString REQUEST_ID = AsciiString.cached("chicorylane-request-id");
  static final AsciiString DEADLINE_MILLIS = AsciiString.cached("chicorylane-deadline-millis");
  static final AsciiString IDEMPOTENCY_KEY = AsciiString.cached("idempotency-key");
  static final AsciiString PREFER = AsciiString.cached("prefer");
  static final AsciiString PREFERENCE_APPLIED = AsciiString.cached("preference-applied");
  static final AsciiString TRACEPARENT = AsciiString.cached("traceparent");

  private HeaderNames() {}
}
