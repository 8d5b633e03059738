package org.chicorylane.internal.report;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.stream.IntStream;

/**
 * A time series of counts in consecutive steps of equal length.
 *
 * <p>Immutable and thread-safe.
 *
 * @param start when the first step began
 * @param step the length of a step
 * @param points the counts of each step, oldest first
 */
public record Timeline(Instant start, Duration step, List<Counts> points) {

  /** Copies the points and checks that the step is positive. */
  public Timeline {
    Objects.requireNonNull(start, "start");
    points = List.copyOf(points);
    if (step.isNegative() || step.isZero()) {
      throw new IllegalArgumentException("timeline step must be positive: " + step);
    }
  }

  /** Returns when the step at index {@code position} began. */
  public Instant timeOf(int position) {
    return start.plus(step.multipliedBy(position));
  }

  /**
   * Returns the sum of both timelines. It ends with the later of the two and has as many steps as
   * this one.
   *
   * @throws IllegalArgumentException if the steps differ
   */
  public Timeline merge(Timeline other) {
    if (!step.equals(other.step)) {
      throw new IllegalArgumentException(
          "timelines with steps " + step + " and " + other.step + " cannot be merged");
    }
    TreeMap<Instant, Counts> sums = new TreeMap<>();
    addTo(sums);
    other.addTo(sums);
    Instant last = latest(timeOf(points.size() - 1), other.timeOf(other.points.size() - 1));
    Instant first = last.minus(step.multipliedBy(points.size() - 1L));
    List<Counts> merged =
        IntStream.range(0, points.size())
            .mapToObj(i -> sums.getOrDefault(first.plus(step.multipliedBy(i)), Counts.NONE))
            .toList();
    return new Timeline(first, step, merged);
  }

  private void addTo(Map<Instant, Counts> sums) {
    for (int i = 0; i < points.size(); i++) {
      sums.merge(timeOf(i), points.get(i), Counts::plus);
    }
  }

  private static Instant latest(Instant a, Instant b) {
    return a.isAfter(b) ? a : b;
  }
}
