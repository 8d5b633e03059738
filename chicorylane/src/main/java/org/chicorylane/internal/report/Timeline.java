package org.chicorylane.internal.report;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.stream.IntStream;

/**
 * Counts in consecutive steps of time.
 *
 * <p>Immutable and thread-safe.
 *
 * @param start when the first step began
 * @param step the length of a step
 * @param points the counts of each step, oldest first
 */
public record Timeline(Instant start, Duration step, List<Counts> points) {

  /** Copies the points. */
  public Timeline {
    Objects.requireNonNull(start, "start");
    points = List.copyOf(points);
    if (step.isNegative() || step.isZero()) {
      throw new IllegalArgumentException("the step of a timeline is not positive: " + step);
    }
  }

  /** Returns when the step at {@code position} began. */
  public Instant timeOf(int position) {
    return start.plus(step.multipliedBy(position));
  }

  /**
   * Returns the sum of both; it ends where the later one ends and is as long as this one.
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
