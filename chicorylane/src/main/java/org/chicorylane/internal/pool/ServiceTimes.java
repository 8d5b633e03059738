package org.chicorylane.internal.pool;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Moving averages of the time that statements of each kind occupy a slot of a server. Statements
 * are of one kind if they agree in what they do, in the consistency they require and in their
 * priority, which is as much as a home knows of the route they came by.
 *
 * <p>Not thread-safe.
 */
final class ServiceTimes {

  /** Service time assumed for a kind that no server has answered yet, in nanoseconds. */
  static final double INITIAL_NANOS = 15e6;

  /** Weight of the newest answer in the moving averages. */
  private static final double NEWEST_WEIGHT = 0.1;

  /** The averages of all kinds seen so far, which are few. */
  private final List<Average> averages = new ArrayList<>();

  private double overall = INITIAL_NANOS;

  /**
   * Returns the expected service time of the work in nanoseconds: the average of its kind, or of
   * all kinds if none of its kind has been answered.
   */
  double expectedNanos(Work work) {
    Average average = find(work);
    return average == null ? overall : average.nanos;
  }

  /** Records that a server needed {@code nanos} for the work. */
  void onServed(Work work, double nanos) {
    overall += NEWEST_WEIGHT * (nanos - overall);
    Average average = find(work);
    if (average == null) {
      averages.add(new Average(work, nanos));
    } else {
      average.nanos += NEWEST_WEIGHT * (nanos - average.nanos);
    }
  }

  private @Nullable Average find(Work work) {
    for (Average average : averages) {
      if (average.isOfKind(work)) {
        return average;
      }
    }
    return null;
  }

  /** The average of one kind of statements. */
  private static final class Average {
    private final Work first;
    private double nanos;

    Average(Work first, double nanos) {
      this.first = first;
      this.nanos = nanos;
    }

    boolean isOfKind(Work work) {
      return work.kind() == first.kind()
          && work.isWrite() == first.isWrite()
          && work.freshness() == first.freshness()
          && work.maximumAgeMillis() == first.maximumAgeMillis()
          && work.priority() == first.priority();
    }
  }
}
