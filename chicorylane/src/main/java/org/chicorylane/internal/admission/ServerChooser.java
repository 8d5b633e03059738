package org.chicorylane.internal.admission;

import java.time.Instant;
import java.util.List;

/** Selects the servers that may run a request at the moment. */
@FunctionalInterface
public interface ServerChooser {

  /**
   * Returns the names of the servers that may run the request, the preferred one first.
   *
   * @return the names; empty if no server may run it at the moment, so that the request waits
   */
  List<String> eligible(Ticket ticket, Instant now);
}
