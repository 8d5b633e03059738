package org.chicorylane.internal.admission;

import java.time.Duration;

/**
 * Limits of an {@link AdmissionQueue}.
 *
 * @param maxQueued the maximum number of waiting tickets per request class, at least 1
 * @param maxWait the longest predicted wait for which a ticket is queued
 * @param maxRetryAfter the longest retry delay for a refused caller, before jitter
 * @param initialServiceTime the service time that is assumed before one was observed
 */
public record AdmissionSettings(
    int maxQueued, Duration maxWait, Duration maxRetryAfter, Duration initialServiceTime) {

  /** The settings that instances use. */
  public static final AdmissionSettings DEFAULT =
      new AdmissionSettings(
          1_000, Duration.ofSeconds(2), Duration.ofSeconds(5), Duration.ofMillis(5));
}
