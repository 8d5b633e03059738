package org.chicorylane.internal.report;

import java.time.Instant;
import java.util.Objects;

/**
 * The time from which an instance has counted requests. Counts are kept in memory only, so earlier
 * ones are lost.
 *
 * @param instance the instance's name
 * @param since when the instance started to count
 */
public record InstanceCoverage(String instance, Instant since) {

  /** Checks that nothing is null. */
  public InstanceCoverage {
    Objects.requireNonNull(instance, "instance");
    Objects.requireNonNull(since, "since");
  }
}
