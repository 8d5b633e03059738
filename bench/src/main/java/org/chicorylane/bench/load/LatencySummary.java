package org.chicorylane.bench.load;

import org.HdrHistogram.Histogram;

/** The number, percentiles and maximum of latencies, in milliseconds. */
record LatencySummary(
    long count, double p50Millis, double p90Millis, double p99Millis, double maximumMillis) {
  private static final double MICROS_PER_MILLI = 1_000;

  /** Returns the summary of a histogram of microseconds. */
  static LatencySummary of(Histogram micros) {
    return new LatencySummary(
        micros.getTotalCount(),
        micros.getValueAtPercentile(50) / MICROS_PER_MILLI,
        micros.getValueAtPercentile(90) / MICROS_PER_MILLI,
        micros.getValueAtPercentile(99) / MICROS_PER_MILLI,
        micros.getMaxValue() / MICROS_PER_MILLI);
  }
}
