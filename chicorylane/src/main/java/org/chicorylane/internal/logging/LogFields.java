package org.chicorylane.internal.logging;

import org.tinylog.ThreadContext;

/**
 * Adds the id of a request to log entries, as a field of their own.
 *
 * <pre>{@code
 * LogFields.forRequest(request.requestId(), () -> Logger.warn("the connection fell silent"));
 * }</pre>
 *
 * <p>Stateless and thread-safe.
 */
public final class LogFields {
  /** The field that holds the id of the request. */
  public static final String REQUEST_ID = "requestId";

  private LogFields() {}

  /** Runs {@code logging}; what it logs on this thread carries the request's id. */
  public static void forRequest(String requestId, Runnable logging) {
    ThreadContext.put(REQUEST_ID, requestId);
    try {
      logging.run();
    } finally {
      ThreadContext.remove(REQUEST_ID);
    }
  }
}
