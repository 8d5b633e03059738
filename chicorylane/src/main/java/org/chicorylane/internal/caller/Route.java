package org.chicorylane.internal.caller;

import org.chicorylane.internal.relay.RequestKind;
import org.jspecify.annotations.Nullable;

/** Operation that the method and path of a request select. */
sealed interface Route {

  /**
   * A request to a database group.
   *
   * @param group the name of the database group
   * @param kind the operation on the group
   * @param transaction the handle of an open transaction; null if the path contains none
   */
  record Group(String group, RequestKind kind, @Nullable String transaction) implements Route {}

  /** Creates a session. */
  record CreateSession() implements Route {}

  /** Checks whether the process is running. */
  record LivenessCheck() implements Route {}

  /** Checks whether the instance should receive new callers. */
  record ReadinessCheck() implements Route {}

  /**
   * The path exists, but does not support the method.
   *
   * @param allowed the method that the path supports
   */
  record MethodNotAllowed(String allowed) implements Route {}

  /** The path does not exist. */
  record NotFound() implements Route {}
}
