package org.chicorylane.internal.command;

import com.google.gson.JsonObject;

/** The result of a request to an instance's operator address. Immutable. */
sealed interface OperatorReply {

  /** The instance answered. */
  record Answered(int status, JsonObject body) implements OperatorReply {
    /** Returns whether the request succeeded. */
    boolean isOk() {
      return status == HTTP_OK;
    }
  }

  /** No readable answer arrived. A change may nevertheless have taken effect. */
  record Unreachable(String reason) implements OperatorReply {}

  /** The status of a request that succeeded. */
  int HTTP_OK = 200;

  /** The status of a request for a resource that does not exist. */
  int HTTP_NOT_FOUND = 404;

  /** The status of a change that expects another version than the current one. */
  int HTTP_CONFLICT = 409;

  /** The lowest status that reports a fault of the instance or the platform. */
  int HTTP_SERVER_FAULT = 500;
}
