package org.chicorylane.internal.logging;

import org.tinylog.ThreadContext;

/**
 * Adds the id of a request to log entries as a separate field.
 *
 * <pre>{@code
 * LogFields.forRequest(request.requestId(), () -> Logger.warn("no answer from replica-2"));
 * }</pre>
 *
 * <p>Stateless and thread-safe.
 */
public final class LogFields {
  /** The name of the log field that contains the request id. */
  public static final String REQUEST_ID = "requestId";

  private LogFields() {}

  /** Runs {@code logging}. Entries that it logs on this thread contain the request id. */
  public static void forRequest(String requestId, Runnable logging) {
    ThreadContext.put(REQUEST_ID, requestId);
    try {
      logging.run();
    } finally {
      ThreadContext.remove(REQUEST_ID);
    }
  }
}
