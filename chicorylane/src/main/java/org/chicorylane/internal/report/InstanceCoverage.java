package org.chicorylane.internal.report;

import java.time.Instant;
import java.util.Objects;

/**
 * Since when an instance counts; what came before is lost.
 *
 * @param instance the instance's name
 * @param since when it started to count
 */
public record InstanceCoverage(String instance, Instant since) {

  /** Checks that nothing is missing. */
  public InstanceCoverage {
    Objects.requireNonNull(instance, "instance");
    Objects.requireNonNull(since, "since");
  }
}
