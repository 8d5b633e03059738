package org.chicorylane.internal.admission;

import java.time.Instant;
import java.util.List;

/** Says which servers may run a request at this moment. */
@FunctionalInterface
public interface ServerChooser {

  /**
   * Returns the servers that may run the request, the preferred one first.
   *
   * @return empty if none may at the moment, so the request waits
   */
  List<String> eligible(Ticket ticket, Instant now);
}
