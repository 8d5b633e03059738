package org.chicorylane.internal.caller;

/**
 * How much an instance takes from its callers at the same time.
 *
 * @param connections open connections; more are closed at once
 * @param requestsInFlight requests handed to the service and not yet completed; more are not run
 * @param streamsPerConnection concurrent HTTP/2 streams of one connection
 * @param pipelinedRequests HTTP/1.1 requests that wait for their turn on one connection; while as
 *     many wait, the connection is not read
 * @param bufferedBytes bytes of request bodies that wait to be whole or for their turn, over all
 *     connections; requests above that are not run
 */
public record LoadLimits(
    int connections,
    int requestsInFlight,
    int streamsPerConnection,
    int pipelinedRequests,
    long bufferedBytes) {

  /** Returns the limits of an instance whose settings say nothing of them. */
  public static LoadLimits defaults() {
    return new LoadLimits(20_000, 10_000, 100, 16, 256L * 1024 * 1024);
  }
}
