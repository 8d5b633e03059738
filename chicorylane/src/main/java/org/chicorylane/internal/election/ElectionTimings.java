package org.chicorylane.internal.election;

import java.time.Duration;

/**
 * The times of homes and promotions.
 *
 * @param validity how long after sending a confirmed read of the record a home may work; longer
 *     than usual outages of the store
 * @param confirmInterval how often a home reads its record
 * @param rankDelay how much longer the next candidate waits before it takes a home that was lost
 * @param evidenceTimeout how long other instances may take to say whether they reach a server
 * @param quiesceLimit how long running work may take before a planned change of primary
 * @param sealTimeout how long replicas may take to stop receiving
 * @param promotionTimeout how long an accepted promotion may take to be seen
 */
public record ElectionTimings(
    Duration validity,
    Duration confirmInterval,
    Duration rankDelay,
    Duration evidenceTimeout,
    Duration quiesceLimit,
    Duration sealTimeout,
    Duration promotionTimeout) {

  /** Returns the times for today's sizes. */
  public static ElectionTimings defaults() {
    return new ElectionTimings(
        Duration.ofSeconds(9),
        Duration.ofMillis(1_000),
        Duration.ofMillis(120),
        Duration.ofMillis(500),
        Duration.ofMillis(600),
        Duration.ofMillis(400),
        Duration.ofMillis(2_500));
  }
}
