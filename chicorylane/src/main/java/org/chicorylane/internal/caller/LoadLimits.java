package org.chicorylane.internal.caller;

/**
 * Maximum concurrent load that an instance accepts from its callers.
 *
 * @param connections open connections; further ones are closed immediately
 * @param requestsInFlight requests that the service has not yet completed; further ones are
 *     rejected without being run
 * @param streamsPerConnection concurrent HTTP/2 streams per connection
 * @param pipelinedRequests HTTP/1.1 requests queued on one connection; reading from the connection
 *     stops while this many are queued
 * @param bufferedBytes bytes of request bodies that are incomplete or queued, over all connections;
 *     requests that exceed it are rejected without being run
 */
public record LoadLimits(
    int connections,
    int requestsInFlight,
    int streamsPerConnection,
    int pipelinedRequests,
    long bufferedBytes) {

  /** Returns the limits that apply if the settings contain none. */
  public static LoadLimits defaults() {
    return new LoadLimits(20_000, 10_000, 100, 16, 256L * 1024 * 1024);
  }
}
