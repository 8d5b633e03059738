package org.chicorylane.internal.report;

import java.time.Duration;
import java.util.Objects;

/**
 * Which servers of a group served reads.
 *
 * <p>Immutable and thread-safe.
 *
 * @param group the name of the database group
 * @param window the window that ends with the report
 * @param replica reads served by replicas
 * @param primary reads served by the primary
 */
public record GroupReads(String group, Duration window, long replica, long primary) {

  /** Checks that nothing is missing. */
  public GroupReads {
    Objects.requireNonNull(group, "group");
    Objects.requireNonNull(window, "window");
  }

  /** Returns the share served by replicas, from 0 to 1; 0 if nothing was read. */
  public double replicaShare() {
    long total = replica + primary;
    return total == 0 ? 0 : (double) replica / total;
  }
}
