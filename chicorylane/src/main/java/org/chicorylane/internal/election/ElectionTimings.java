package org.chicorylane.internal.election;

import java.time.Duration;

/**
 * Durations of home elections and promotions.
 *
 * @param validity duration of a home's lease, counted from the sending of a confirmed read or write
 *     of the record; longer than usual outages of the store
 * @param confirmInterval interval at which a home reads its record
 * @param rankDelay additional delay per rank before a candidate claims the role of a lost home
 * @param evidenceTimeout time allowed for other instances to report whether they reach a server
 * @param quiesceLimit time allowed for running work to finish before a planned change of primary
 * @param sealTimeout time allowed for replicas to stop receiving the old primary's log
 * @param promotionTimeout time allowed until an accepted promotion is observed
 */
public record ElectionTimings(
    Duration validity,
    Duration confirmInterval,
    Duration rankDelay,
    Duration evidenceTimeout,
    Duration quiesceLimit,
    Duration sealTimeout,
    Duration promotionTimeout) {

  /** Returns the default durations. */
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
