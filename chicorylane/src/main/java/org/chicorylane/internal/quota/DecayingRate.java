package org.chicorylane.internal.quota;

import java.time.Duration;

/** The rate of events over about the last second, which older events influence ever less. */
final class DecayingRate {

  private static final double TIME_CONSTANT_NANOS = Duration.ofSeconds(1).toNanos();

  private double weight;
  private long updatedNanos;

  DecayingRate(long nowNanos) {
    this.updatedNanos = nowNanos;
  }

  /** Counts an event. */
  void add(long nowNanos) {
    weight = decayed(nowNanos) + 1;
    updatedNanos = nowNanos;
  }

  /** Returns the number of events per second. */
  double perSecond(long nowNanos) {
    return decayed(nowNanos);
  }

  private double decayed(long nowNanos) {
    return weight * Math.exp((updatedNanos - nowNanos) / TIME_CONSTANT_NANOS);
  }
}
