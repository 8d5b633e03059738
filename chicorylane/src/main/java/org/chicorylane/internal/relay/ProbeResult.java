package org.chicorylane.internal.relay;

/**
 * What an instance saw when it probed a backend server.
 *
 * @param reachable whether the server answered as a primary
 * @param term the timeline that it named; 0 if it did not answer
 */
public record ProbeResult(boolean reachable, long term) {

  /** The server did not answer, or not as a primary. */
  public static final ProbeResult UNREACHABLE = new ProbeResult(false, 0);
}
