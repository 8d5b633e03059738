package org.chicorylane.internal.report;

import java.time.Duration;
import java.util.Objects;

/**
 * The numbers of reads that the replicas and the primary of a group served.
 *
 * <p>Immutable and thread-safe.
 *
 * @param group the name of the database group
 * @param window the window, which ends at the time of the report
 * @param replica the number of reads served by replicas
 * @param primary the number of reads served by the primary
 */
public record GroupReads(String group, Duration window, long replica, long primary) {

  /** Checks that the group and the window are not null. */
  public GroupReads {
    Objects.requireNonNull(group, "group");
    Objects.requireNonNull(window, "window");
  }

  /** Returns the share of reads served by replicas, from 0 to 1; 0 if there were no reads. */
  public double replicaShare() {
    long total = replica + primary;
    return total == 0 ? 0 : (double) replica / total;
  }
}
