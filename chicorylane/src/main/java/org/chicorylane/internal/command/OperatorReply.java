package org.chicorylane.internal.command;

import com.google.gson.JsonObject;

/** What came of a request to an instance's operator address. Immutable. */
sealed interface OperatorReply {

  /** The instance answered. */
  record Answered(int status, JsonObject body) implements OperatorReply {
    /** Returns whether the request was done. */
    boolean ok() {
      return status == HTTP_OK;
    }
  }

  /** No answer came, or none that can be read; a change may have taken effect. */
  record Unreachable(String reason) implements OperatorReply {}

  /** The status of a request that was done. */
  int HTTP_OK = 200;

  /** The status of a request for something that is not there. */
  int HTTP_NOT_FOUND = 404;

  /** The status of a request against another version. */
  int HTTP_CONFLICT = 409;

  /** The status from which on the fault is the instance's or the platform's. */
  int HTTP_SERVER_FAULT = 500;
}
