package org.chicorylane.bench;

import java.time.Duration;
import java.util.Random;

/** Random durations for simulations. */
final class Durations {
  private Durations() {}

  /** Returns a log-normal duration of that mean; its 99th percentile is about 3.1 times as long. */
  static Duration service(Random random, double meanMillis) {
    double sigma = 0.6;
    double factor = Math.exp(sigma * random.nextGaussian() - sigma * sigma / 2);
    return Duration.ofNanos(Math.round(meanMillis * factor * 1e6));
  }

  /** Returns an exponential duration, as between arrivals of a Poisson process. */
  static Duration between(Random random, double perSecond) {
    return Duration.ofNanos(Math.round(-Math.log(1 - random.nextDouble()) / perSecond * 1e9));
  }
}
