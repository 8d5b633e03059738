package org.chicorylane.internal.quota;

import java.time.Duration;

/** The recent rate of events, which older events influence ever less. */
final class DecayingRate {

  private static final double SECOND_NANOS = 1e9;

  private final double timeConstantNanos;

  private double weight;
  private long updatedNanos;

  /**
   * Creates a rate of 0.
   *
   * @param timeConstant the time after which an event counts for 1/e of its first weight
   */
  DecayingRate(Duration timeConstant, long nowNanos) {
    this.timeConstantNanos = timeConstant.toNanos();
    this.updatedNanos = nowNanos;
  }

  /** Counts an event. */
  void add(long nowNanos) {
    weight = decayed(nowNanos) + 1;
    updatedNanos = nowNanos;
  }

  /** Returns the number of events per second. */
  double perSecond(long nowNanos) {
    return decayed(nowNanos) * SECOND_NANOS / timeConstantNanos;
  }

  private double decayed(long nowNanos) {
    return weight * Math.exp((updatedNanos - nowNanos) / timeConstantNanos);
  }
}
