package org.chicorylane.internal.topology;

/** Tells for how long a backend server may be sent new work. */
public interface DrainLimit {

  /**
   * Returns the time in nanoseconds in which a server may still be sent new work: {@code
   * Long.MAX_VALUE} if it is not draining, 0 or less if its time is over, or may be over because it
   * is not known when its drain began.
   */
  long remainingNanos(BackendServer server);
}
