package org.chicorylane.internal.caller;

import org.chicorylane.internal.relay.RequestKind;
import org.jspecify.annotations.Nullable;

/** What the method and path of a request ask for. */
sealed interface Route {

  /** A request to a database group. */
  record Group(String group, RequestKind kind, @Nullable String transaction) implements Route {}

  /** A new session. */
  record CreateSession() implements Route {}

  /** Whether the process runs. */
  record LivenessCheck() implements Route {}

  /** Whether the instance should get new callers. */
  record ReadinessCheck() implements Route {}

  /** The path exists, but not for this method. */
  record MethodNotAllowed(String allowed) implements Route {}

  /** Nothing is at this path. */
  record NotFound() implements Route {}
}
