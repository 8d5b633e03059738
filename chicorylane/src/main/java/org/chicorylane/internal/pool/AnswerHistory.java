package org.chicorylane.internal.pool;

import java.time.Duration;

/**
 * The recent answers of one server to clients' statements: the share that failed, and how long the
 * slowest took in relation to what was expected.
 *
 * <p>Not thread-safe.
 */
final class AnswerHistory {

  /** Time constant in nanoseconds with which answers are forgotten. */
  private static final double MEMORY_NANOS = Duration.ofSeconds(10).toNanos();

  /** Answers from which the share of failures is known. */
  private static final double MIN_ANSWERS = 5;

  /** Number of recent answers that make up the share of failures. */
  private static final double MAX_ANSWERS = 30;

  /** Successes from which the slowest answer is known. */
  private static final int MIN_TIMED_ANSWERS = 50;

  /** Factor by which the time of the slowest answer shrinks with each further answer. */
  private static final double SLOWEST_DECAY = 0.995;

  /** A read is hung if it takes longer than the slowest answer by this factor. */
  private static final double HUNG_FACTOR = 2;

  /** Minimum time in nanoseconds after which a read can be considered hung. */
  private static final double MIN_HUNG_NANOS = Duration.ofMillis(100).toNanos();

  /** Reads that may be abandoned early for each answered statement. */
  private static final double ABANDON_SHARE = 0.2;

  /** Maximum number of reads that may be abandoned early without an answer in between. */
  private static final double MAX_ABANDONS = 10;

  private double answers;
  private double failures;
  private long decayedNanos;
  private int timedAnswers;
  private double slowest;
  private double abandons = MAX_ABANDONS;

  /** Records that a statement was answered, or its answer was lost. */
  void onOutcome(boolean failed, long nowNanos) {
    decay(nowNanos);
    if (answers > MAX_ANSWERS) {
      failures *= MAX_ANSWERS / answers;
      answers = MAX_ANSWERS;
    }
    answers++;
    failures += failed ? 1 : 0;
    if (!failed) {
      abandons = Math.min(MAX_ABANDONS, abandons + ABANDON_SHARE);
    }
  }

  /** Records the time until the answer to a statement that succeeded. */
  void onAnswerTime(double nanos, double expectedNanos) {
    slowest = Math.max(slowest * SLOWEST_DECAY, nanos / expectedNanos);
    timedAnswers++;
  }

  /** Returns whether enough statements were answered to know the share of failures. */
  boolean isKnown(long nowNanos) {
    decay(nowNanos);
    return answers >= MIN_ANSWERS;
  }

  /** Returns the share of statements that failed; 0 if none was sent. */
  double failureShare() {
    return answers == 0 ? 0 : failures / answers;
  }

  /** Returns the number of recent failures. */
  double failures() {
    return failures;
  }

  /**
   * Returns whether a read is so late that it should be abandoned and run by another server. Each
   * time that this method returns true uses up a part of the server's budget, which its answers
   * refill, so that a server that pauses does not get all of its reads abandoned.
   *
   * @param nanos the time since the read was sent
   * @param expectedNanos the expected time until its answer
   */
  boolean tryAbandon(long nanos, double expectedNanos) {
    boolean isHung =
        timedAnswers >= MIN_TIMED_ANSWERS
            && nanos > Math.max(MIN_HUNG_NANOS, HUNG_FACTOR * slowest * expectedNanos);
    if (!isHung || abandons < 1) {
      return false;
    }
    abandons--;
    return true;
  }

  /** Forgets the outcomes, but not the answer times. */
  void clearOutcomes() {
    answers = 0;
    failures = 0;
  }

  private void decay(long nowNanos) {
    double factor = Math.exp((decayedNanos - nowNanos) / MEMORY_NANOS);
    answers *= factor;
    failures *= factor;
    decayedNanos = nowNanos;
  }
}
