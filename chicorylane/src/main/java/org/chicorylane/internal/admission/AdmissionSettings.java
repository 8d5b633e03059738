package org.chicorylane.internal.admission;

import java.time.Duration;

/**
 * The limits of a queue.
 *
 * @param maxQueued tickets that one request class may have waiting, at least 1
 * @param maxWait the longest predicted wait for which a ticket is taken in
 * @param maxRetryAfter the longest time after which a refused caller is told to come back, before
 *     jitter
 * @param initialServiceTime the service time that is assumed before any was seen
 */
public record AdmissionSettings(
    int maxQueued, Duration maxWait, Duration maxRetryAfter, Duration initialServiceTime) {

  /** The settings that instances use. */
  public static final AdmissionSettings DEFAULT =
      new AdmissionSettings(
          1_000, Duration.ofSeconds(2), Duration.ofSeconds(5), Duration.ofMillis(5));
}
