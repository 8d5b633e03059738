package org.chicorylane.internal.relay;

/**
 * The result of a probe of a backend server.
 *
 * @param reachable whether the server answered as a primary
 * @param term the timeline that the server reported; 0 if it did not answer
 */
public record ProbeResult(boolean reachable, long term) {

  /** The result if the server did not answer, or not as a primary. */
  public static final ProbeResult UNREACHABLE = new ProbeResult(false, 0);
}
