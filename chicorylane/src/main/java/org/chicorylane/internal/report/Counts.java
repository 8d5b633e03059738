package org.chicorylane.internal.report;

/**
 * The numbers of good and bad events.
 *
 * <p>Immutable and thread-safe.
 *
 * @param good the number of good events, at least 0
 * @param bad the number of bad events, at least 0
 */
public record Counts(long good, long bad) {
  /** Counts of no events. */
  public static final Counts NONE = new Counts(0, 0);

  /** Checks the counts. */
  public Counts {
    if (good < 0 || bad < 0) {
      throw new IllegalArgumentException("negative counts: good " + good + ", bad " + bad);
    }
  }

  /** Returns the sum of both counts. */
  public Counts plus(Counts other) {
    return new Counts(good + other.good, bad + other.bad);
  }

  /** Returns the number of all events. */
  public long total() {
    return good + bad;
  }

  /** Returns the share of bad events, from 0 to 1; 0 if there were no events. */
  public double badShare() {
    return total() == 0 ? 0 : (double) bad / total();
  }

  /**
   * Returns how many times faster than allowed the error budget is spent: 1 spends it exactly
   * within the objective's window.
   *
   * @param target the share of events that must be good, between 0 and 1 exclusive
   */
  public double burnRate(double target) {
    return badShare() / (1 - target);
  }
}
